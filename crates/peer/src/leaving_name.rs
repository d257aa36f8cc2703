use serde::{Deserialize, Serialize};

/// Upstream that was seen leaving, as sent in a datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LeavingName {
    pub(crate) name: String,
    /// Start of the instance that said so itself, in Unix milliseconds; `None` if a list said so.
    pub(crate) started_ms: Option<u64>,
    /// Time since the observation.
    pub(crate) age_ms: u32,
}
