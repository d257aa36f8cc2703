use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};

/// Version of the platform's store that can be compared with all others.
///
/// A store that comes back from an older copy has lost its last versions and gives their numbers out
/// again. Its era rises then, so that numbers are compared within one era only.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StoreVersion {
    /// Number of times that the store has come back from an older copy, counted from any start.
    pub era: u64,
    /// Value of the store's counter, which grows with each transaction of the era.
    pub number: u64,
}

impl StoreVersion {
    /// Creates a version.
    #[must_use]
    pub const fn new(era: u64, number: u64) -> Self {
        Self { era, number }
    }
}

impl Display for StoreVersion {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.era, self.number)
    }
}
