use store::Expect;

use crate::{Command, Record, Report};

/// What the driver of a delivery has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DeliveryStep {
    /// Read the lease's row and pass the result to `read`.
    Read,
    /// Write the lease's row and pass the result to `written`.
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
    /// Read the upstream's state and pass it to `state`.
    ReadState,
    /// Send the command at once and pass what is known to `sent`.
    Send(Command),
    /// The delivery has ended.
    Done(Box<Report>),
}
