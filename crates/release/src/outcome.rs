use settings::Problem;

/// End of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The change is accepted.
    Applied {
        /// Version that it made.
        version: u64,
        /// Whether the row `release/N` is known to be written; else the next writer or reader
        /// completes it.
        recorded: bool,
    },
    /// Another change took effect first; nothing of this one is in force.
    Conflict {
        /// Version in force.
        version: u64,
    },
    /// The note does not match what it would do; nothing was written.
    Mismatch(Vec<Problem>),
    /// The row `release/current` can't be read as a configuration; nothing was written.
    Unreadable(String),
    /// The store is down; nothing was applied.
    Down,
    /// The store did not say whether the change took effect. The same attempt number tells later.
    Unknown,
}
