use serde::{Deserialize, Serialize};

use crate::EngineLoad;

/// What a daemon tells others about its work on engines and about their speed.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadAnnouncement {
    /// The sender's load by the hash of the engine's name, sorted by the hash.
    pub engines: Vec<(u64, EngineLoad)>,
    /// The sender's estimates by the hash of the kind of engine, sorted by the hash.
    pub kinds: Vec<(u64, KindEstimate)>,
}

impl LoadAnnouncement {
    /// Returns whether the sender has no work on any engine.
    #[must_use]
    pub const fn is_idle(&self) -> bool {
        self.engines.is_empty()
    }
}

/// One daemon's estimates for a kind of engine, which it makes from its own few requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct KindEstimate {
    /// Time in which an engine processes a prompt token.
    pub token_ns: u32,
    /// Share of the engines that should be reserved for short prompts.
    pub reserved_permille: u16,
}
