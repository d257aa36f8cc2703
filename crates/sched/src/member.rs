use std::sync::Arc;

/// Upstream as the dispatcher sees it.
#[derive(Debug)]
pub(crate) struct Member {
    pub(crate) name: Arc<str>,
    pub(crate) lanes: Vec<usize>,
    pub(crate) group: usize,
    pub(crate) slots: u32,
    pub(crate) share: Option<u32>,
    pub(crate) live: bool,
    /// Whether it can continue a begun answer.
    pub(crate) resume: bool,
    /// Running long jobs.
    pub(crate) long: u32,
}

impl Member {
    pub(crate) fn room(&self) -> u32 {
        if self.live {
            self.share.unwrap_or(self.slots)
        } else {
            0
        }
    }
}
