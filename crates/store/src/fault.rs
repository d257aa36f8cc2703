/// Fault injected into one call of a [`MemoryTable`](crate::MemoryTable).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The call fails and nothing is applied.
    Down,
    /// The call takes effect and its answer is lost.
    AnswerLost,
    /// The call does not take effect and its answer is lost.
    RequestLost,
    /// A read returns the state before the latest write.
    Stale,
}
