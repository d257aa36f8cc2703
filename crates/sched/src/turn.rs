use crate::JobId;

/// Job whose turn it is.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Turn {
    pub(crate) id: JobId,
    pub(crate) lane: usize,
    pub(crate) tier: usize,
    /// Whether it goes ahead of a higher tier on its reserved share.
    pub(crate) reserved: bool,
}
