use serde::{Deserialize, Serialize};

/// Upstream that was seen leaving, as sent in a datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LeavingName {
    pub(crate) name: String,
    /// Time since the observation.
    pub(crate) age_ms: u32,
}
