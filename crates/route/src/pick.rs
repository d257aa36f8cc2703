use std::sync::Arc;

/// Chosen upstream, on which one slot is now taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pick {
    /// Name of the upstream.
    pub upstream: Arc<str>,
    /// Whether the upstream orders its own queue by priority.
    pub honours_priority: bool,
    /// Prompt tokens that the upstream reads before the first token: of this job and those ahead.
    pub work_tokens: u32,
}
