use serde::{Deserialize, Serialize};

/// What the engine did, counted from its own side.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStats {
    /// Requests that began to run or wait.
    pub requests: u64,
    /// Requests whose caller left before the last token.
    pub cancelled: u64,
    /// Tokens generated.
    pub generated_tokens: u64,
    /// Tokens generated after the connection of their request was gone.
    pub wasted_tokens: u64,
    /// Prompt tokens prefilled.
    pub prefilled_tokens: u64,
}
