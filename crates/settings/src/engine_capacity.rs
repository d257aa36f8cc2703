use serde::{Deserialize, Serialize};

/// Sizes of a model engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineCapacity {
    /// Key-value memory for running requests and cached parts of prompts, in tokens.
    pub cache_tokens: u64,
}
