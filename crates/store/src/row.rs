use serde::{Deserialize, Serialize};

/// Versioned row of the table service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key of the row.
    pub key: String,
    /// Version of the whole table at which the row was last written. The version of the table grows
    /// with every write.
    pub version: u64,
    /// Value as text.
    pub value: String,
}
