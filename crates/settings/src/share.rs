use serde::{Deserialize, Serialize};

/// Fraction of the requests of a route that one service gets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Share {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the other shares of the route.
    pub weight: u64,
}
