use lease::Record;
use store::Expect;

/// Step that the caller of a [`Holder`](crate::Holder) has to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HolderStep {
    /// Read the row and pass the result to `handle_read`.
    Read,
    /// Write the record under this condition and pass the result to `handle_write`.
    Write {
        /// Condition on the current version of the row.
        expect: Expect,
        /// Record to write.
        record: Box<Record>,
    },
    /// Call `step` again at this time or after an event.
    Wait {
        /// Time by the caller's clock.
        until_us: u64,
    },
}
