use crate::JobId;

/// Job whose turn it is.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Turn {
    pub(crate) id: JobId,
    pub(crate) lane: usize,
    pub(crate) tier: usize,
    /// Whether it takes a free slot on the share reserved for its tier.
    pub(crate) reserved: bool,
}
