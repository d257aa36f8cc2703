use store::Expect;

use crate::{Command, Record, Report};

/// Step that the caller of a [`Delivery`](crate::Delivery) has to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DeliveryStep {
    /// Read the lease's row and pass the result to `handle_read`.
    Read,
    /// Write the lease's row and pass the result to `handle_write`.
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
    /// Read the upstream's state and pass it to `handle_state`.
    ReadState,
    /// Send the command at once and pass the result to `handle_send`.
    Send(Command),
    /// The delivery has ended.
    Done(Box<Report>),
}
