//! Jobs and their attempts.

/// Job of a daemon's scheduler, which serves one request.
#[derive(Debug)]
pub(crate) struct JobInfo {
    pub(crate) request: usize,
    pub(crate) daemon: usize,
    /// Index of the running attempt.
    pub(crate) attempt: Option<usize>,
    /// Whether the job is still queued or running.
    pub(crate) live: bool,
}

/// Attempt to run a job on an engine.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) job: usize,
    pub(crate) engine: usize,
    pub(crate) priority: i32,
    /// Tokens that the caller received from earlier attempts.
    pub(crate) base_tokens: u32,
    /// Whether it uses the share of slots that is reserved for its tier.
    pub(crate) reserved: bool,
    /// Whether the daemon has received a token.
    pub(crate) answered: bool,
    /// Whether its daemon still counts it as running.
    pub(crate) live: bool,
}
