use serde::{Deserialize, Serialize};

/// Whether an upstream takes new work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamLifecycle {
    /// Takes new work.
    #[default]
    Live,
    /// Finishes what it has and takes no new work.
    Leaving,
}
