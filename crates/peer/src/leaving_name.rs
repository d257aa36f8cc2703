use serde::{Deserialize, Serialize};

/// Name of an upstream that was seen leaving.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LeavingName {
    pub(crate) name: String,
    pub(crate) age_ms: u32,
}
