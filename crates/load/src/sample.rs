/// How a request ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The answer is complete.
    Complete,
    /// The caller left midway, as planned.
    Abandoned,
    /// The daemon refused it.
    Refused,
    /// The answer broke off, or the connection did.
    Broken,
}

/// What one caller saw.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sample {
    /// Index of the part of the mix.
    pub spec_index: usize,
    /// How it ended.
    pub outcome: RequestOutcome,
    /// Time to the first token; 0 if there was none.
    pub first_token_us: u64,
    /// Mean gap between tokens; 0 if there were fewer than two.
    pub token_gap_us: u64,
    /// Tokens received.
    pub tokens: u32,
}
