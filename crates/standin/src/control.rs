use serde::{Deserialize, Serialize};

/// Faults of the engine stand-in.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineControl {
    /// Duration of steps in percent of the normal one; 0 stands for 100.
    pub slowdown_percent: u64,
    /// Generates nothing and keeps every connection open.
    pub frozen: bool,
    /// Drops every connection and refuses work.
    pub crashed: bool,
    /// Drops the connection of every stream after this many tokens; 0 for never.
    pub drop_after_tokens: u32,
    /// Refuses new work with status 503.
    pub rejecting: bool,
    /// Loses this many commands before they take effect.
    pub lose_commands: u32,
    /// Loses the answer of this many commands that took effect.
    pub lose_command_answers: u32,
    /// Answers this many commands without applying them.
    pub ignore_commands: u32,
}

/// Faults of the plain service stand-in.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceControl {
    /// Drops this many calls before they run.
    pub drop_before_run: u32,
    /// Drops this many calls after they ran, without an answer.
    pub drop_after_run: u32,
    /// Holds calls before they run, until this is lifted.
    pub held: bool,
}

/// Faults of the store stand-in.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreControl {
    /// Answers every call with status 503.
    pub down: bool,
    /// Pause before every answer.
    pub slow_ms: u64,
    /// Loses the answer of this many writes that took effect.
    pub lose_answers: u32,
}
