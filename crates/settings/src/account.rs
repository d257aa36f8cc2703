use serde::{Deserialize, Serialize};

/// Client account with its limits over all daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Unique name.
    pub name: String,
    /// SHA-256 of each accepted API key as hexadecimal digits.
    pub key_sha256: Vec<String>,
    /// Class of requests that name none.
    pub default_class: String,
    /// Classes that the account may use.
    pub classes: Vec<String>,
    /// Request rate.
    pub requests_per_s: u32,
    /// Requests queued or running.
    pub requests_in_flight: u32,
    /// Prompt and expected answer tokens queued or running.
    pub tokens_in_flight: u64,
    /// Weight in the fair order inside a tier.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Rank of all its requests on routes, which goes before the route's own.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tier: Option<u8>,
}

const fn default_weight() -> u32 {
    1
}
