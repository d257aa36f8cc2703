//! Result of one request.

/// Outcome of a request for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The response is complete.
    Complete,
    /// The caller disconnected early, as planned.
    Abandoned,
    /// The daemon refused the request.
    Refused,
    /// The connection failed, or the response ended incomplete.
    Broken,
}

/// Result of one request, as its caller saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sample {
    /// Index of the request spec in the mix.
    pub spec_index: usize,
    /// Outcome.
    pub outcome: RequestOutcome,
    /// Time to the first token; 0 if there was none.
    pub first_token_us: u64,
    /// Mean gap between tokens; 0 if fewer than two arrived.
    pub token_gap_us: u64,
    /// Tokens received.
    pub tokens: u32,
}
