/// What the host that orders upstreams knows about a service at one time.
#[derive(Debug, Clone, Copy)]
pub struct Observation<'a> {
    /// Demand of the whole fleet; `None` if too few hosts told theirs lately.
    pub demand: Option<Demand>,
    /// Whether the list of upstreams is up to date. Nothing is taken away by an old list.
    pub is_current: bool,
    /// Upstreams by availability zone, sorted by its name.
    pub zones: &'a [ZoneUpstreams],
}

/// Demand for a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    /// Number of upstreams that the present work would keep fully busy.
    pub busy_upstreams: f64,
}

/// Upstreams of a service in one availability zone.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ZoneUpstreams {
    /// Availability zone.
    pub zone: String,
    /// Upstreams that the platform doesn't reclaim.
    pub lasting: UpstreamCount,
    /// Upstreams that the platform may reclaim.
    pub reclaimable: UpstreamCount,
}

/// Upstreams of one kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UpstreamCount {
    /// Upstreams that take new requests.
    pub live: u32,
    /// Upstreams that finish their requests and leave.
    pub leaving: u32,
}

impl ZoneUpstreams {
    /// Returns the upstreams of one kind.
    #[must_use]
    pub const fn count(&self, reclaimable: bool) -> UpstreamCount {
        if reclaimable {
            self.reclaimable
        } else {
            self.lasting
        }
    }
}
