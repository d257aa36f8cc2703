use store::Expect;

use crate::{Record, SettleOutcome};

/// Next step of a [`Settle`](crate::Settle) machine, for the caller to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettleStep {
    /// Read the claim row and pass the result to `handle_read`.
    Read {
        /// Delay before the read.
        after_ms: u64,
    },
    /// Write the record under this condition and pass the result to `handle_write`.
    Write {
        /// Condition of the write.
        expect: Expect,
        /// New value of the row.
        record: Box<Record>,
        /// Delay before the write.
        after_ms: u64,
    },
    /// The settlement has ended with this outcome.
    Done(SettleOutcome),
}
