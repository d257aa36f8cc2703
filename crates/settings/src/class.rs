use serde::{Deserialize, Serialize};

/// Class of service: priority, latency targets and queueing limit of requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Unique name.
    pub name: String,
    /// Priority tier; 0 is the highest and 2 the lowest.
    pub tier: u8,
    /// Target for the time to the first token.
    pub first_token_ms: u64,
    /// Target for the gap between two tokens.
    pub token_gap_ms: u64,
    /// Longest time in the queue; after it, the request is refused.
    pub max_wait_ms: u64,
    /// Percentage of the slots that is reserved for this class under overload.
    #[serde(default)]
    pub reserved_percent: u8,
}
