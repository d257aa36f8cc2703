use serde::{Deserialize, Serialize};

use crate::Answer;

/// State of a claim, as stored in its row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum State {
    /// Claimed without a recorded outcome: the call is running, or its host has stopped.
    Claimed,
    /// No byte of the call reached an upstream; the key may be claimed again.
    NotRun,
    /// The call ran and was answered.
    Done {
        /// Response that every repeat gets.
        answer: Answer,
    },
    /// The call was sent and no complete answer came back; it may have run.
    Unknown,
    /// Settled by an operator.
    Settled {
        /// Name of the operator.
        by: String,
        /// Reason that the operator gave.
        reason: String,
        /// Whether the call ran; if not, the key may be claimed again.
        ran: bool,
        /// Unix time of the decision, for the audit trail.
        at_unix_ms: u64,
    },
}

impl State {
    /// Returns whether the key may be claimed again.
    #[must_use]
    pub const fn is_free(&self) -> bool {
        matches!(self, Self::NotRun | Self::Settled { ran: false, .. })
    }

    /// Returns whether an operator may have to decide if the call ran.
    #[must_use]
    pub const fn needs_operator(&self) -> bool {
        matches!(self, Self::Unknown | Self::Claimed)
    }
}
