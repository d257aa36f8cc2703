use serde::{Deserialize, Serialize};

/// State of a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum VerdictState {
    /// It explains several crashes; daemons that have seen an answer to it clear it.
    Suspected,
    /// Requests with it are refused.
    Quarantined,
    /// An answer to it began, so that another part is to blame for its crashes.
    Cleared,
    /// An operator released it; its crashes until then speak against no part.
    Released,
    /// It was suspected, but others explain its crashes better; they still count.
    Dismissed,
}

impl VerdictState {
    /// Returns whether the part is suspected or quarantined.
    #[must_use]
    pub const fn is_held(self) -> bool {
        matches!(self, Self::Suspected | Self::Quarantined)
    }

    /// Returns the precedence among verdicts of the same epoch: a daemon that clears a part prevails
    /// over one that quarantines it at the same moment, and an operator over both.
    pub(crate) const fn precedence(self) -> u8 {
        match self {
            Self::Suspected => 0,
            Self::Dismissed => 2,
            Self::Quarantined => 1,
            Self::Cleared => 3,
            Self::Released => 4,
        }
    }
}

/// What is known of a part, as daemons tell it to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// Identifier of the part, or fingerprint of the whole request.
    pub part: u64,
    /// Whether it is a whole request.
    pub is_request: bool,
    /// Number of changes of its state; the higher one prevails.
    pub epoch: u32,
    /// State.
    pub state: VerdictState,
    /// Number of crashes that it explained when it was suspected.
    pub crashes: u32,
    /// Number of failed trials.
    pub failed_trials: u32,
    /// Time since the last change, in milliseconds.
    pub age_ms: u32,
}

impl Verdict {
    /// Returns the rank by which one of two verdicts about a part prevails.
    pub(crate) const fn rank(&self) -> (u32, u8, u32) {
        (self.epoch, self.state.precedence(), self.failed_trials)
    }
}
