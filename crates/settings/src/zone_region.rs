use serde::{Deserialize, Serialize};

/// Assignment of an availability zone to its region.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneRegion {
    /// Availability zone.
    pub zone: String,
    /// Region.
    pub region: String,
}
