use store::Expect;

use crate::{LeaseEnd, Record};

/// What the driver of a lease has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseStep {
    /// Read the row and pass the result to `read`.
    Read,
    /// Write the record under this condition and pass the result to `written`.
    Write {
        /// Condition.
        expect: Expect,
        /// Record.
        record: Box<Record>,
    },
    /// Ask again at this time.
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
