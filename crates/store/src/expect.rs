use crate::StoreVersion;

/// Precondition of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expect {
    /// No row with this key exists.
    Absent,
    /// The row exists and has this version, which never holds in another era.
    Version(StoreVersion),
}
