/// Job of a daemon and the request it serves.
#[derive(Debug)]
pub(crate) struct JobInfo {
    pub(crate) request: usize,
    pub(crate) daemon: usize,
    /// Index of the attempt that runs.
    pub(crate) attempt: Option<usize>,
    pub(crate) live: bool,
}

/// One sending of a job to an engine.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) job: usize,
    pub(crate) engine: usize,
    pub(crate) priority: i32,
    /// Tokens that the caller had before.
    pub(crate) base: u32,
    /// Whether it runs on the share that is reserved for its tier.
    pub(crate) reserved: bool,
    /// Whether a token has come.
    pub(crate) answered: bool,
    /// Whether its daemon still counts it.
    pub(crate) live: bool,
}
