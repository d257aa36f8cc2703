/// Why a lease is not held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseEnd {
    /// Another holder kept the lease until the acquisition gave up.
    Busy,
    /// The store was down or did not confirm a write.
    StoreFailed,
    /// The value of the row is not a record of a lease.
    Unreadable,
    /// The lease was released, or it expired, or another holder has taken it over.
    Over,
}
