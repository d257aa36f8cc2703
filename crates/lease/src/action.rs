use std::fmt;

use serde::{Deserialize, Serialize};

use crate::UpstreamState;

/// What a command sets on an upstream.
///
/// Every action sets a state, so that repeating it changes nothing. There is no action that toggles
/// or adds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Has a model loaded.
    LoadModel(String),
    /// Has a model not loaded.
    UnloadModel(String),
    /// Has an adapter loaded.
    LoadAdapter(String),
    /// Has an adapter not loaded.
    UnloadAdapter(String),
    /// Has this role.
    SetRole(String),
}

impl Action {
    /// Returns whether the state is the wanted one.
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

    /// Changes the state to the wanted one.
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

fn insert(names: &mut Vec<String>, name: &str) {
    if let Err(index) = names.binary_search_by(|other| other.as_str().cmp(name)) {
        names.insert(index, name.to_owned());
    }
}
