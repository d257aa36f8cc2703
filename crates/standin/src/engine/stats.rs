//! Counters of the engine stand-in.

use serde::{Deserialize, Serialize};

/// Counters of an engine, served at `/stats`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStats {
    /// Requests that were added to the batch.
    pub requests: u64,
    /// Requests whose client disconnected before the last token.
    pub cancelled: u64,
    /// Tokens that were generated.
    pub generated_tokens: u64,
    /// Tokens that were generated after the client of their request had disconnected.
    pub wasted_tokens: u64,
    /// Prompt tokens that were prefilled.
    pub prefilled_tokens: u64,
}
