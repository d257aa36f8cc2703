use store::Expect;

use crate::{LeaseEnd, Record};

/// Step that the caller of a [`Lease`](crate::Lease) has to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseStep {
    /// Read the row and pass the result to `handle_read`.
    Read,
    /// Write the record under this condition and pass the result to `handle_write`.
    Write {
        /// Condition on the current version of the row.
        expect: Expect,
        /// Record to write.
        record: Box<Record>,
    },
    /// Call `step` again at this time.
    Wait {
        /// Time by the caller's clock.
        until_us: u64,
    },
    /// The lease is held; nothing has to be done before this time.
    Held {
        /// Time at which the holder stops using the lease.
        until_us: u64,
    },
    /// The lease is not held any more.
    Ended(LeaseEnd),
}
