use std::sync::Arc;

/// Chosen upstream, on which one slot is now taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pick {
    /// Name of the upstream.
    pub upstream: Arc<str>,
    /// Whether the upstream orders its own queue by priority.
    pub honours_priority: bool,
}
