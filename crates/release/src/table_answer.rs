use crate::StoredRow;

/// Answer of the table service to a [`TableCall`](crate::TableCall).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TableAnswer {
    /// Row of a read, if there is one.
    Row(Option<StoredRow>),
    /// The write took effect.
    Written,
    /// The condition of the write did not hold; the row that is there.
    Conflict(Option<StoredRow>),
    /// The service refused the call; nothing was applied.
    Down,
    /// The answer was lost; a write may have taken effect.
    Unknown,
}
