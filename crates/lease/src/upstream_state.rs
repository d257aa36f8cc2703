use serde::{Deserialize, Serialize};

/// State of an upstream, as the upstream reports it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct UpstreamState {
    /// Loaded models, sorted.
    pub models: Vec<String>,
    /// Loaded adapters, sorted.
    pub adapters: Vec<String>,
    /// Role; empty if none was set.
    pub role: String,
    /// Highest fencing token of any command that was applied.
    pub token: u64,
    /// Number of commands that were applied.
    pub applied: u64,
    /// Number of commands that were refused because of a stale token.
    pub refused: u64,
}

impl UpstreamState {
    /// Applies a command as an upstream does, and returns whether it was applied.
    ///
    /// An upstream that honours fencing refuses a command whose token is lower than one seen
    /// before.
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
