use crate::Stored;

/// Answer of the table service to a [`Call`](crate::Call).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// Row of a read, if there is one.
    Row(Option<Stored>),
    /// The write took effect.
    Written,
    /// The condition of the write did not hold; the row that is there.
    Conflict(Option<Stored>),
    /// The service refused the call; nothing was applied.
    Down,
    /// The answer was lost; a write may have taken effect.
    Unknown,
}
