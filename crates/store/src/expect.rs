/// Condition of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expect {
    /// No row has this key.
    Absent,
    /// The row has this version.
    Version(u64),
}
