use std::sync::Arc;

/// Running attempt of a job.
#[derive(Debug)]
pub(crate) struct Running {
    pub(crate) upstream: Arc<str>,
    pub(crate) started_us: u64,
    /// Time of the last token, or of the start.
    pub(crate) last_us: u64,
    /// Prompt tokens that the upstream reads before the first token.
    pub(crate) work_tokens: u32,
    /// Tokens of this attempt.
    pub(crate) tokens: u32,
    /// Whether it runs on the share reserved for its tier.
    pub(crate) reserved: bool,
}
