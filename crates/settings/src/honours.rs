use serde::{Deserialize, Serialize};

/// What an upstream does with the fields that the router sends.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Honours {
    /// Orders its own queue by the `priority` field.
    #[serde(default)]
    pub priority: bool,
    /// Continues an answer from its beginning (`continue_final_message`).
    #[serde(default)]
    pub resume: bool,
    /// Refuses a command with a stale fencing token.
    #[serde(default)]
    pub fencing: bool,
}
