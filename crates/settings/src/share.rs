use serde::{Deserialize, Serialize};

/// Part of a route's requests that goes to one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Share {
    /// Name of the service.
    pub service: String,
    /// Part of the requests, relative to the other shares of the route.
    pub weight: u64,
}
