use store::Expect;

use crate::{Record, SettleOutcome};

/// What the driver of a settlement has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettleStep {
    /// Read the row and pass the result to `handle_read`.
    Read {
        /// Pause before the read.
        after_ms: u64,
    },
    /// Write the record under this condition and pass the result to `handle_write`.
    Write {
        /// Condition.
        expect: Expect,
        /// Record.
        record: Box<Record>,
        /// Pause before the write.
        after_ms: u64,
    },
    /// The settlement has ended.
    Done(SettleOutcome),
}
