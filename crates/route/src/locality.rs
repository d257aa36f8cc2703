/// Region and availability zone of a host.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Locality {
    /// Region.
    pub region: String,
    /// Availability zone.
    pub zone: String,
}

impl Locality {
    /// Creates a locality.
    #[must_use]
    pub fn new(region: &str, zone: &str) -> Self {
        Self {
            region: region.to_owned(),
            zone: zone.to_owned(),
        }
    }
}
