use serde::{Deserialize, Serialize};

/// Memory capacity of a model engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineCapacity {
    /// Capacity of the KV cache, which holds running requests and cached prompt prefixes.
    pub cache_tokens: u64,
}
