use crate::StoredRow;

/// Answer of the table service to a [`TableCall`](crate::TableCall).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TableAnswer {
    /// Result of a read: the row, if it exists.
    Row(Option<StoredRow>),
    /// The write took effect.
    Written,
    /// The condition of the write did not hold; the row that exists, if any.
    Conflict(Option<StoredRow>),
    /// The service refused the call or could not be reached; nothing was applied.
    Down,
    /// The answer was lost; a write may have taken effect.
    Unknown,
}
