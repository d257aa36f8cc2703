use serde::{Deserialize, Serialize};

use crate::gap_class::GAP_CLASSES;

/// Work that one or more daemons have on a model engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Prompt tokens sent but not yet processed, by tier.
    pub unread_tokens: [u32; 3],
    /// Requests that are generating tokens, by the class of their target for the gap between
    /// events, smallest targets first.
    pub running: [u32; GAP_CLASSES],
    /// Tokens that running and waiting requests take of the engine's memory, with the answers that
    /// they may generate.
    pub held_tokens: u32,
    /// Prompt tokens sent in the last seconds, exponentially decayed.
    pub recent_tokens: u32,
    /// Sum of the squares of those prompts' tokens, decayed alike; with `recent_tokens` it gives the
    /// typical size of a prompt that a stream meets.
    pub recent_tokens_squared: u64,
}

impl EngineLoad {
    /// Returns whether there is no work now.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.unread_tokens == [0; 3] && self.running == [0; GAP_CLASSES]
    }

    /// Returns the number of requests that are generating tokens.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running.iter().sum()
    }

    /// Adds the work of another daemon.
    pub fn add(&mut self, other: &Self) {
        for (tokens, other) in self.unread_tokens.iter_mut().zip(other.unread_tokens) {
            *tokens = tokens.saturating_add(other);
        }
        for (running, other) in self.running.iter_mut().zip(other.running) {
            *running = running.saturating_add(other);
        }
        self.held_tokens = self.held_tokens.saturating_add(other.held_tokens);
        self.recent_tokens = self.recent_tokens.saturating_add(other.recent_tokens);
        self.recent_tokens_squared = self
            .recent_tokens_squared
            .saturating_add(other.recent_tokens_squared);
    }
}
