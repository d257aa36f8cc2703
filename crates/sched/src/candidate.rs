use crate::JobId;

/// Queued job that is next to start.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Candidate {
    pub(crate) id: JobId,
    pub(crate) lane: usize,
    pub(crate) tier: usize,
    /// Whether it takes a free slot from the share reserved for its tier.
    pub(crate) reserved: bool,
}
