use serde::{Deserialize, Serialize};

/// State of an upstream as it reports it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct UpstreamState {
    /// Models that are loaded, sorted.
    pub models: Vec<String>,
    /// Adapters that are loaded, sorted.
    pub adapters: Vec<String>,
    /// Role; empty if none was set.
    pub role: String,
    /// Highest fencing token that was seen.
    pub token: u64,
    /// Commands that were applied.
    pub applied: u64,
    /// Commands that were refused because of a stale token.
    pub refused: u64,
}

impl UpstreamState {
    /// Takes a command as an upstream does, and returns whether it was applied.
    pub fn try_apply(&mut self, command: &crate::Command, honours_fencing: bool) -> bool {
        if honours_fencing && command.token < self.token {
            self.refused += 1;
            return false;
        }
        self.token = self.token.max(command.token);
        self.applied += 1;
        command.action.apply(self);
        true
    }
}
