use std::{sync::Arc, time::Duration};

use sched::PromptPart;

/// Metadata that a caller's request carries in its headers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Identifier that the caller chose; the caller uses a new one for each of its own attempts.
    pub request_id: String,
    /// API key, which identifies the client account.
    pub api_key: Option<String>,
    /// Time that the caller is willing to wait for the response.
    pub deadline: Option<Duration>,
    /// Parts of the prompt in order; empty for a request to a plain service.
    pub prompt: Arc<[PromptPart]>,
    /// Maximum number of tokens to generate, 0 if unknown.
    pub output_tokens_max: u32,
}

/// Missing or invalid header, described for the text of the refusal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MalformedHeader(pub String);
