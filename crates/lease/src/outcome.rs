use serde::{Deserialize, Serialize};

/// Result of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The wanted state was read after the command, under a valid lease.
    Confirmed,
    /// The command may have been applied, but the wanted state was not read under a valid lease.
    Unconfirmed,
    /// The upstream refused the token as stale.
    Stale,
    /// The upstream refused the command for another reason.
    Refused,
    /// The upstream could not be reached; nothing was sent.
    Unreachable,
    /// Another holder kept the lease, or the lease was lost; nothing was sent.
    Busy,
    /// The store failed before the lease was held; nothing was sent.
    StoreFailed,
    /// The value of the lease's row is not a record of a lease; nothing was sent.
    Unreadable,
}
