use std::fmt;

use serde::{Deserialize, Serialize};

/// List of a configuration that release notes can change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ConfigList {
    /// Classes of service.
    Classes,
    /// Client accounts.
    Accounts,
    /// Upstreams.
    Upstreams,
    /// Plain services.
    Services,
}

impl ConfigList {
    /// All lists, in the order of the configuration.
    pub const ALL: [Self; 4] = [
        Self::Classes,
        Self::Accounts,
        Self::Upstreams,
        Self::Services,
    ];

    /// Returns the field name of the list in a configuration.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Classes => "classes",
            Self::Accounts => "accounts",
            Self::Upstreams => "upstreams",
            Self::Services => "services",
        }
    }
}

impl fmt::Display for ConfigList {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
