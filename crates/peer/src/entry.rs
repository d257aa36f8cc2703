use crate::{Member, replay_window::ReplayWindow};

/// Record of a member with the local state that is not sent to others.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub(crate) member: Member,
    /// Sequence numbers received from this member.
    pub(crate) replay_window: ReplayWindow,
    /// Time at which the suspicion expires and the member is declared dead.
    pub(crate) dead_at_us: Option<u64>,
    /// Time at which the member was declared dead.
    pub(crate) dead_since_us: u64,
    /// Whether the host list names this member.
    pub(crate) listed: bool,
    /// Whether the host list marks this member as leaving.
    pub(crate) listed_leaving: bool,
    /// Ping this member at the next tick, ahead of the probe round.
    pub(crate) ping_next: bool,
}

impl Entry {
    pub(crate) fn new(member: Member) -> Self {
        Self {
            member,
            replay_window: ReplayWindow::default(),
            dead_at_us: None,
            dead_since_us: 0,
            listed: false,
            listed_leaving: false,
            ping_next: false,
        }
    }
}
