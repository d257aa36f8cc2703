use serde::{Deserialize, Serialize};

use crate::StoreVersion;

/// Versioned row of the table service.
///
/// The project's own table service has no eras: as JSON, the version is a number of era 0.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key of the row.
    pub key: String,
    /// Version of the whole table at which the row was last written. The version of the table grows
    /// with every write.
    #[serde(with = "number")]
    pub version: StoreVersion,
    /// Value as text.
    pub value: String,
}

/// Version of era 0 as a number.
mod number {
    use serde::{Deserialize, Deserializer, Serializer};

    use crate::StoreVersion;

    pub(super) fn serialize<S>(version: &StoreVersion, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.serialize_u64(version.number)
    }

    pub(super) fn deserialize<'de, D>(deserializer: D) -> Result<StoreVersion, D::Error>
    where
        D: Deserializer<'de>,
    {
        u64::deserialize(deserializer).map(|number| StoreVersion::new(0, number))
    }
}
