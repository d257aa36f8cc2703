use serde::{Deserialize, Serialize};

use crate::List;

/// Names that a note withdraws.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Withdrawn {
    /// Classes of service.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub classes: Vec<String>,
    /// Client accounts.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub accounts: Vec<String>,
    /// Upstreams.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub upstreams: Vec<String>,
    /// Plain services.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub services: Vec<String>,
}

impl Withdrawn {
    /// Returns the names of one list.
    #[must_use]
    pub fn of(&self, list: List) -> &[String] {
        match list {
            List::Classes => &self.classes,
            List::Accounts => &self.accounts,
            List::Upstreams => &self.upstreams,
            List::Services => &self.services,
        }
    }

    /// Returns the names of one list for a change.
    pub fn of_mut(&mut self, list: List) -> &mut Vec<String> {
        match list {
            List::Classes => &mut self.classes,
            List::Accounts => &mut self.accounts,
            List::Upstreams => &mut self.upstreams,
            List::Services => &mut self.services,
        }
    }
}
