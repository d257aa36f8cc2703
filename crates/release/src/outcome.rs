use settings::Problem;

/// Outcome of applying a release note.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The change is in force.
    Applied {
        /// Configuration version that it made.
        version: u64,
        /// Whether the row `release/N` is known to be written. If not, the next writer or reader
        /// writes it.
        recorded: bool,
    },
    /// Another change took effect first; nothing of this one is in force.
    Conflict {
        /// Version in force.
        version: u64,
    },
    /// The note does not match the configuration in force, or its result is invalid; nothing was
    /// written.
    Mismatch(Vec<Problem>),
    /// The row `release/current` can't be parsed as a configuration; nothing was written.
    Unreadable(String),
    /// The table service is down; nothing was applied.
    Down,
    /// The table service did not confirm whether the change took effect. Applying the note again
    /// with the same attempt ID finds out.
    Unknown,
}
