use serde::{Deserialize, Serialize};

/// Client account with its limits, which apply to the whole fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Unique name.
    pub name: String,
    /// SHA-256 of each accepted API key, as hexadecimal digits.
    pub key_sha256: Vec<String>,
    /// Class of service of requests that name none.
    pub default_class: String,
    /// Classes of service that the account may use.
    pub classes: Vec<String>,
    /// Maximum number of requests per second.
    pub requests_per_s: u32,
    /// Maximum number of requests that are queued or running at the same time.
    pub requests_in_flight: u32,
    /// Maximum total of prompt and expected answer tokens of the requests that are queued or
    /// running.
    pub tokens_in_flight: u64,
    /// Weight of the account in fair queueing inside a tier.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Priority of all requests of the account on routes; overrides that of the route.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tier: Option<u8>,
}

const fn default_weight() -> u32 {
    1
}
