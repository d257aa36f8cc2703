use serde::{Deserialize, Serialize};

/// Optional request features that an upstream supports.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Honours {
    /// Orders its own queue by the `priority` field of requests.
    #[serde(default)]
    pub priority: bool,
    /// Continues a partial answer that is sent with the request (`continue_final_message`).
    #[serde(default)]
    pub resume: bool,
    /// Rejects commands with a stale fencing token.
    #[serde(default)]
    pub fencing: bool,
}
