//! Requests of the simulated callers.

/// Request of one caller; the requests of a seed are the same for every policy.
#[derive(Debug, Clone)]
pub(crate) struct Request {
    /// Time at which the caller sends it.
    pub(crate) arrive_us: u64,
    /// Index of the caller's region.
    pub(crate) region: usize,
    /// Number between 0 and 1 by which the load balancer selects the daemon.
    pub(crate) balancer_position: f64,
    /// Index of the client account.
    pub(crate) account: usize,
    /// Index of the class, which is also its tier.
    pub(crate) class: usize,
    /// Prompt tokens.
    pub(crate) prompt_tokens: u32,
    /// Tokens of the complete answer, which the router does not know.
    pub(crate) output_tokens: u32,
    /// Bytes of the request body.
    pub(crate) body_bytes: u64,
    /// Identifier of the prompt prefix that it shares with others, 0 for none.
    pub(crate) prefix: u64,
    /// Number of tokens after which the caller disconnects.
    pub(crate) disconnect_after_tokens: Option<u32>,
    /// Time after which a caller without a first token disconnects.
    pub(crate) patience_us: u64,
}
