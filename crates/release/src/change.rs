use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::ConfigList;

/// New value of one field.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// List that holds the part.
    pub list: ConfigList,
    /// Name of the part.
    pub name: String,
    /// Field of the part.
    pub field: String,
    /// Value in force; a field with a default is given with that default.
    pub before: Value,
    /// Value after the release.
    pub after: Value,
}
