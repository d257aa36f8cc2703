/// Fault that is injected into one operation of a [`MemoryTable`](crate::MemoryTable).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The operation fails with [`StoreError::Down`](crate::StoreError::Down); nothing is applied.
    Down,
    /// The operation takes effect, but its answer is lost.
    AnswerLost,
    /// The request is lost: the operation does not take effect and gets no answer.
    RequestLost,
    /// A read of the row that was written last returns its value before that write.
    Stale,
    /// The sender of a write has not learned of the last restore: the condition is compared by
    /// number alone, and the outcome of a write that takes effect is unknown, because the answer is
    /// of another era.
    EraUnknown,
}
