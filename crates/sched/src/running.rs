use std::sync::Arc;

/// Attempt of a job that is running on an upstream.
#[derive(Debug)]
pub(crate) struct Running {
    pub(crate) upstream: Arc<str>,
    pub(crate) started_us: u64,
    /// Time of the last token, or of the start.
    pub(crate) last_token_us: u64,
    /// Prompt tokens that the upstream is expected to prefill.
    pub(crate) work_tokens: u32,
    /// Output tokens received in this attempt.
    pub(crate) tokens: u32,
    /// Time of the first token.
    pub(crate) begun_us: Option<u64>,
    /// Whether the answer has begun for long enough to show that its prompt crashes no upstream.
    pub(crate) proven: bool,
    /// Events received in this attempt.
    pub(crate) events: u32,
    /// Whether it holds a slot of the share reserved for its tier.
    pub(crate) reserved: bool,
}
