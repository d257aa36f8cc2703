use serde::{Deserialize, Serialize};

use crate::Answer;

/// State of a claimed call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum State {
    /// Claimed; the call may be running, or its host may have stopped.
    Claimed,
    /// Provably not run by its holder; the key may be claimed again.
    NotRun,
    /// Ran and was answered.
    Done {
        /// Answer for every repeat.
        answer: Answer,
    },
    /// Sent without an answer; it may have run.
    Unknown,
    /// Settled by an operator.
    Settled {
        /// Operator.
        by: String,
        /// Why.
        reason: String,
        /// Whether the call took effect; if not, the key may be claimed again.
        ran: bool,
        /// Wall-clock time, for the audit trail.
        at_unix_ms: u64,
    },
}

impl State {
    /// Returns whether the key may be claimed again.
    #[must_use]
    pub const fn is_free(&self) -> bool {
        matches!(self, Self::NotRun | Self::Settled { ran: false, .. })
    }

    /// Returns whether an operator has to decide what happened.
    #[must_use]
    pub const fn needs_operator(&self) -> bool {
        matches!(self, Self::Unknown | Self::Claimed)
    }
}
