use serde::{Deserialize, Serialize};

/// Work that one or more daemons have on a model engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Prompt tokens sent but not yet processed, by tier.
    pub unread_tokens: [u32; 3],
    /// Requests that are generating tokens.
    pub running: u32,
    /// Running requests that had a short prompt.
    pub short_running: u32,
}

impl EngineLoad {
    /// Returns whether there is no work.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        *self == Self::default()
    }

    /// Adds the work of another daemon.
    pub fn add(&mut self, other: &Self) {
        for (tokens, other) in self.unread_tokens.iter_mut().zip(other.unread_tokens) {
            *tokens = tokens.saturating_add(other);
        }
        self.running = self.running.saturating_add(other.running);
        self.short_running = self.short_running.saturating_add(other.short_running);
    }
}
