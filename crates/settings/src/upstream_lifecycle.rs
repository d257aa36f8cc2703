use serde::{Deserialize, Serialize};

/// Lifecycle state of an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamLifecycle {
    /// Accepts new requests.
    #[default]
    Live,
    /// Finishes its requests and accepts no new ones.
    Leaving,
}
