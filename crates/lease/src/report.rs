use serde::{Deserialize, Serialize};

use crate::{Outcome, UpstreamState};

/// Result of a delivery, for its operator and for the audit row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Outcome of the command.
    pub outcome: Outcome,
    /// Fencing token; 0 if the lease was never held.
    pub token: u64,
    /// Number of times the command was sent.
    pub sends: u32,
    /// Number of reads after an applied command that found another state, for example because a
    /// late command of an earlier holder arrived. The command was repeated after each, unless the
    /// delivery gave up.
    pub repaired: u32,
    /// Whether the lease was over before the answer to a command arrived: the command may have
    /// changed the state after a later holder read it.
    pub late: bool,
    /// State that was read before the first command.
    pub before: Option<UpstreamState>,
    /// State that was read last, after a command.
    pub after: Option<UpstreamState>,
}
