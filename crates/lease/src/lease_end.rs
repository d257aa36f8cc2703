/// Why a lease is not held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseEnd {
    /// Another holder kept the lease for the whole wait.
    Busy,
    /// The store was down or did not confirm a write.
    StoreFailed,
    /// The row holds no record of a lease.
    Unreadable,
    /// The lease was given up, or its time passed, or another holder has it.
    Over,
}
