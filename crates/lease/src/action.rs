use std::fmt;

use serde::{Deserialize, Serialize};

use crate::UpstreamState;

/// State that a command sets on an upstream.
///
/// Every action is idempotent: it sets a state, so repeating it changes nothing. No action toggles
/// or adds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Ensures that a model is loaded.
    LoadModel(String),
    /// Ensures that a model is not loaded.
    UnloadModel(String),
    /// Ensures that an adapter is loaded.
    LoadAdapter(String),
    /// Ensures that an adapter is not loaded.
    UnloadAdapter(String),
    /// Sets the role.
    SetRole(String),
}

impl Action {
    /// Returns whether the upstream is in the state that this action sets.
    #[must_use]
    pub fn is_met(&self, state: &UpstreamState) -> bool {
        match self {
            Self::LoadModel(name) => state.models.contains(name),
            Self::UnloadModel(name) => !state.models.contains(name),
            Self::LoadAdapter(name) => state.adapters.contains(name),
            Self::UnloadAdapter(name) => !state.adapters.contains(name),
            Self::SetRole(role) => state.role == *role,
        }
    }

    /// Changes a state to the one that this action sets.
    pub fn apply(&self, state: &mut UpstreamState) {
        match self {
            Self::LoadModel(name) => insert(&mut state.models, name),
            Self::UnloadModel(name) => state.models.retain(|model| model != name),
            Self::LoadAdapter(name) => insert(&mut state.adapters, name),
            Self::UnloadAdapter(name) => state.adapters.retain(|adapter| adapter != name),
            Self::SetRole(role) => state.role.clone_from(role),
        }
    }
}

impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::LoadModel(name) => write!(f, "load model {name}"),
            Self::UnloadModel(name) => write!(f, "unload model {name}"),
            Self::LoadAdapter(name) => write!(f, "load adapter {name}"),
            Self::UnloadAdapter(name) => write!(f, "unload adapter {name}"),
            Self::SetRole(role) => write!(f, "set role {role}"),
        }
    }
}

/// Inserts a name into a sorted list, unless it is there.
fn insert(names: &mut Vec<String>, name: &str) {
    if let Err(index) = names.binary_search_by(|other| other.as_str().cmp(name)) {
        names.insert(index, name.to_owned());
    }
}
