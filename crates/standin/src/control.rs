//! Injected faults, sent to the `/control` paths of the stand-ins.

use serde::{Deserialize, Serialize};

/// Faults of the engine stand-in.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineControl {
    /// Duration of a step in percent of the normal duration; 0 means 100.
    pub slowdown_percent: u64,
    /// Generates nothing and keeps every connection open.
    pub frozen: bool,
    /// Drops every connection and accepts no requests.
    pub crashed: bool,
    /// Drops the connection of every request after this many tokens; 0 means never.
    pub drop_after_tokens: u32,
    /// Refuses new requests with status 503.
    pub rejecting: bool,
    /// Drops this many commands before they take effect.
    pub lose_commands: u32,
    /// Drops the responses to this many commands that took effect.
    pub lose_command_answers: u32,
    /// Confirms this many commands without applying them.
    pub ignore_commands: u32,
}

/// Faults of the plain service stand-in.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceControl {
    /// Drops this many calls before they run.
    pub drop_before_run: u32,
    /// Drops this many calls after they ran, without a response.
    pub drop_after_run: u32,
    /// Holds calls before they run, until the fault is removed.
    pub held: bool,
}

/// Faults of the store stand-in.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreControl {
    /// Responds to every call with status 503.
    pub down: bool,
    /// Delay of every response.
    pub slow_ms: u64,
    /// Drops the responses to this many writes that took effect.
    pub lose_answers: u32,
}
