use serde::{Deserialize, Serialize};
use settings::{Account, Class, Service, Upstream};

/// Items that a release note adds, by list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Additions {
    /// Classes of service.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub classes: Vec<Class>,
    /// Client accounts.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub accounts: Vec<Account>,
    /// Upstreams.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub upstreams: Vec<Upstream>,
    /// Plain services.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub services: Vec<Service>,
}
