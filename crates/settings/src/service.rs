use serde::{Deserialize, Serialize};

use crate::{Autoscaling, EngineCapacity};

/// Plain HTTP service, provided by one or more upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name; the path prefix of the service is `/services/NAME/`.
    pub name: String,
    /// Longest time until the answer is complete.
    pub answer_max_ms: u64,
    /// Calls that must not be repeated.
    #[serde(default)]
    pub non_idempotent: Vec<RequestMatcher>,
    /// Capacity of its engines, if the service is provided by model engines.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub engine: Option<EngineCapacity>,
    /// Bounds and prices of the upstreams that the fleet orders for the service; without it, none are
    /// ordered.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub autoscaling: Option<Autoscaling>,
}

impl Service {
    /// Returns whether a call must not be run more than once.
    ///
    /// # Examples
    ///
    /// ```
    /// use settings::{RequestMatcher, Service};
    ///
    /// let rule = RequestMatcher { method: "POST".into(), path_prefix: "/reservations".into() };
    /// let service = Service {
    ///     name: "inventory".into(),
    ///     answer_max_ms: 5_000,
    ///     non_idempotent: vec![rule],
    ///     engine: None,
    ///     autoscaling: None,
    /// };
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

/// Matches requests by method and path prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestMatcher {
    /// HTTP method in upper case.
    pub method: String,
    /// Prefix of the path after the path prefix of the service.
    pub path_prefix: String,
}
