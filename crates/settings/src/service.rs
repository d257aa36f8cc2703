use serde::{Deserialize, Serialize};

use crate::EngineCapacity;

/// Plain service that several upstreams provide.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name, the path prefix is `/services/NAME/`.
    pub name: String,
    /// Longest time for an answer.
    pub answer_max_ms: u64,
    /// Calls that may not be repeated.
    #[serde(default)]
    pub non_idempotent: Vec<RequestMatcher>,
    /// Sizes of its engines, if it is served by model engines.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub engine: Option<EngineCapacity>,
}

impl Service {
    /// Returns whether a call may take effect only once.
    ///
    /// # Examples
    ///
    /// ```
    /// use settings::{RequestMatcher, Service};
    ///
    /// let rule = RequestMatcher { method: "POST".into(), path_prefix: "/reservations".into() };
    /// let service =
    ///     Service { name: "inventory".into(), answer_max_ms: 5_000, non_idempotent: vec![rule], engine: None };
    /// assert!(service.is_non_idempotent("POST", "/reservations"));
    /// assert!(!service.is_non_idempotent("GET", "/reservations/7"));
    /// ```
    #[must_use]
    pub fn is_non_idempotent(&self, method: &str, path: &str) -> bool {
        self.non_idempotent
            .iter()
            .any(|rule| rule.method == method && path.starts_with(&rule.path_prefix))
    }
}

/// Method and path of calls that may not be repeated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestMatcher {
    /// HTTP method in capital letters.
    pub method: String,
    /// Beginning of the path behind the service's prefix.
    pub path_prefix: String,
}
