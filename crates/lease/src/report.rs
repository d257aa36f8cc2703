use serde::{Deserialize, Serialize};

use crate::{Outcome, UpstreamState};

/// Report about a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Result.
    pub outcome: Outcome,
    /// Fencing token; 0 if no lease was tried.
    pub token: u64,
    /// Commands sent.
    pub sends: u32,
    /// Reads after an applied command that found another state, for example because a late
    /// command of an earlier holder arrived; each was followed by a repeat.
    pub repaired: u32,
    /// Whether the lease was over before the answer to a send came back: the command may have
    /// changed the state after a later holder read it.
    pub late: bool,
    /// State read before the first command.
    pub before: Option<UpstreamState>,
    /// State read last after a command.
    pub after: Option<UpstreamState>,
}
