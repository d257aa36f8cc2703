use serde::{Deserialize, Serialize};

use crate::ConfigList;

/// Names of the items that a release note withdraws, by list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Withdrawals {
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

impl Withdrawals {
    /// Returns the names of one list.
    #[must_use]
    pub fn of(&self, list: ConfigList) -> &[String] {
        match list {
            ConfigList::Classes => &self.classes,
            ConfigList::Accounts => &self.accounts,
            ConfigList::Upstreams => &self.upstreams,
            ConfigList::Services => &self.services,
        }
    }

    /// Returns the names of one list for modification.
    pub fn of_mut(&mut self, list: ConfigList) -> &mut Vec<String> {
        match list {
            ConfigList::Classes => &mut self.classes,
            ConfigList::Accounts => &mut self.accounts,
            ConfigList::Upstreams => &mut self.upstreams,
            ConfigList::Services => &mut self.services,
        }
    }
}
