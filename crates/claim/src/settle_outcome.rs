use crate::Record;

/// Result of an operator's attempt to settle a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettleOutcome {
    /// The decision is stored in the claim row.
    Applied,
    /// No claim with this key exists.
    Absent,
    /// The claim needs no decision, or another writer changed it at the same time.
    Conflict(Box<Record>),
    /// The claim is recent, so the call may still be running.
    InProgress(Box<Record>),
    /// The row can't be parsed as a claim.
    Unreadable,
    /// The table service was down; nothing was written.
    Down,
    /// The outcome of the write is unknown; it may have taken effect.
    Unknown,
}
