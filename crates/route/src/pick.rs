use std::{net::SocketAddr, sync::Arc};

/// Selected upstream, on which one slot has been taken for the job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pick {
    /// Name of the upstream.
    pub upstream: Arc<str>,
    /// Whether the upstream orders its queue by priority.
    pub honours_priority: bool,
    /// Prompt tokens that the upstream processes before the first token, of this job and of the
    /// jobs ahead of it.
    pub work_tokens: u32,
    /// Engine from which the upstream should fetch the cached parts that it lacks.
    pub fetch_from: Option<SocketAddr>,
}
