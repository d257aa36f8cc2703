use crate::{Member, replay_window::ReplayWindow};

/// Member with what only this daemon knows about it.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub(crate) member: Member,
    pub(crate) window: ReplayWindow,
    /// When the suspected member counts as dead.
    pub(crate) dead_at_us: Option<u64>,
    pub(crate) dead_since_us: u64,
    pub(crate) listed: bool,
    pub(crate) listed_leaving: bool,
    /// Ping this member out of turn.
    pub(crate) retry: bool,
}

impl Entry {
    pub(crate) fn new(member: Member) -> Self {
        Self {
            member,
            window: ReplayWindow::default(),
            dead_at_us: None,
            dead_since_us: 0,
            listed: false,
            listed_leaving: false,
            retry: false,
        }
    }
}
