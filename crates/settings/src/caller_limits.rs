use serde::{Deserialize, Serialize};

/// Bounds on what callers of routes may send, and for how long they may hold a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerLimits {
    /// Largest headers of a request.
    pub header_max_bytes: usize,
    /// Largest body of a request.
    pub body_max_bytes: usize,
    /// Longest time for the headers of a request.
    pub header_max_ms: u64,
    /// Longest time that a connection may be idle.
    pub idle_max_ms: u64,
}

impl Default for CallerLimits {
    /// Returns bounds that fit any caller until a configuration names its own.
    fn default() -> Self {
        Self {
            header_max_bytes: 32 * 1_024,
            body_max_bytes: 8 * 1_024 * 1_024,
            header_max_ms: 10_000,
            idle_max_ms: 60_000,
        }
    }
}
