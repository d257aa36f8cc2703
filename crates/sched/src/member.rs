use std::sync::Arc;

/// Slots of one upstream, the lanes it serves and the group it belongs to.
#[derive(Debug)]
pub(crate) struct Member {
    pub(crate) name: Arc<str>,
    pub(crate) lanes: Vec<usize>,
    pub(crate) group: usize,
    pub(crate) slots: u32,
    /// Slots that this daemon may use; `None` if the share isn't limited.
    pub(crate) share: Option<u32>,
    pub(crate) live: bool,
    /// Whether it can continue an answer that another upstream began.
    pub(crate) can_resume: bool,
    /// Number of long jobs that run here.
    pub(crate) long_running: u32,
}

impl Member {
    /// Returns how many jobs this daemon may run here at once.
    pub(crate) fn capacity(&self) -> u32 {
        if self.live {
            self.share.unwrap_or(u32::MAX).min(self.slots)
        } else {
            0
        }
    }
}
