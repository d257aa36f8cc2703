use serde::{Deserialize, Serialize};

/// Memory capacity of a model engine, and the link over which engines copy cached parts.
///
/// A value of 0 means that it is not declared.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineCapacity {
    /// Capacity of the KV cache, which holds running requests and cached prompt prefixes.
    pub cache_tokens: u64,
    /// Size of a cached token in bytes.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub cache_token_bytes: u64,
    /// Rate at which an engine fetches cached parts from another, in Mbit/s.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub link_mbps: u64,
}

impl EngineCapacity {
    /// Returns the time in which an engine fetches a cached token from another, in microseconds;
    /// `None` if the figures for it are not declared.
    #[must_use]
    pub fn fetch_token_us(&self) -> Option<f64> {
        let bits = to_f64(self.cache_token_bytes) * 8.0;
        // A Mbit/s is a bit in a microsecond.
        (bits > 0.0 && self.link_mbps > 0).then(|| bits / to_f64(self.link_mbps))
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "declared figures are far below 2^52"
)]
const fn to_f64(value: u64) -> f64 {
    value as f64
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "the signature that serde requires"
)]
const fn is_zero(value: &u64) -> bool {
    *value == 0
}
