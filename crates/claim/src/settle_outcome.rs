use crate::Record;

/// Result of a settlement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettleOutcome {
    /// The decision is in the row.
    Applied,
    /// No claim has this key.
    Absent,
    /// The claim needs no decision, or changed at the same time.
    Conflict(Box<Record>),
    /// The holder may still be at work.
    InProgress(Box<Record>),
    /// The row is no claim.
    Unreadable,
    /// The store was down; nothing was written.
    Down,
    /// The write may have taken effect.
    Unknown,
}
