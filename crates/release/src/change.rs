use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::ConfigList;

/// Change of one field of a configuration item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// List that holds the item.
    pub list: ConfigList,
    /// Name of the item.
    pub name: String,
    /// Field of the item.
    pub field: String,
    /// Value in force. It must be stated even if it is the default of the field.
    pub before: Value,
    /// Value after the release.
    pub after: Value,
}
