/// What one caller wants; the same for every policy.
#[derive(Debug, Clone)]
pub(crate) struct Request {
    /// Time at which the caller sends it.
    pub(crate) arrive_us: u64,
    /// Index of the caller's region.
    pub(crate) region: usize,
    /// Position that selects the daemon, between 0 and 1.
    pub(crate) spread: f64,
    /// Index of the client account.
    pub(crate) account: usize,
    /// Index of the class, which is also its tier.
    pub(crate) class: usize,
    /// Prompt tokens.
    pub(crate) prompt_tokens: u32,
    /// Tokens of the complete answer, unknown to the router.
    pub(crate) output_tokens: u32,
    /// Bytes of the request.
    pub(crate) body_bytes: u64,
    /// Common prefix of the prompt, 0 for none.
    pub(crate) prefix: u64,
    /// Number of tokens after which the caller disconnects.
    pub(crate) leave_after_tokens: Option<u32>,
    /// Time after which a caller without a first token disconnects.
    pub(crate) patience_us: u64,
}
