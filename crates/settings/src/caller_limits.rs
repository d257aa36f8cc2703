use serde::{Deserialize, Serialize};

/// Limits on the size of requests on routes and on the time for which callers may occupy a
/// connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerLimits {
    /// Largest total size of the headers of a request.
    pub header_max_bytes: usize,
    /// Largest request body.
    pub body_max_bytes: usize,
    /// Longest time until the headers of a request have arrived.
    pub header_max_ms: u64,
    /// Longest time for which a connection may be idle.
    pub idle_max_ms: u64,
}

impl Default for CallerLimits {
    /// Returns generous limits, used as long as the configuration sets none.
    fn default() -> Self {
        Self {
            header_max_bytes: 32 * 1_024,
            body_max_bytes: 8 * 1_024 * 1_024,
            header_max_ms: 10_000,
            idle_max_ms: 60_000,
        }
    }
}
