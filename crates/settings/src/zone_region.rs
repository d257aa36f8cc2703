use serde::{Deserialize, Serialize};

/// Region that an availability zone belongs to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneRegion {
    /// Availability zone.
    pub zone: String,
    /// Region.
    pub region: String,
}
