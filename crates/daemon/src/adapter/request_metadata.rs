use std::{sync::Arc, time::Duration};

use sched::PromptPart;

/// What a caller says of its request besides method, path and body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Identifier that the caller chose; another one for each attempt.
    pub request_id: String,
    /// API key.
    pub api_key: Option<String>,
    /// Time for which the caller waits.
    pub deadline: Option<Duration>,
    /// Parts of the prompt in order; empty for a call of a plain service.
    pub prompt: Arc<[PromptPart]>,
    /// Longest answer in tokens, 0 if unknown.
    pub output_tokens_max: u32,
}

/// Header that can't be read, for the refusal's text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MalformedHeader(pub String);
