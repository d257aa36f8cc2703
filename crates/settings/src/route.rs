use serde::{Deserialize, Serialize};

use crate::{RequestKind, Share};

/// Route from a host name and path prefix to the plain services or engines that serve its requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Unique name.
    pub name: String,
    /// Host name to which callers send their requests.
    pub host: String,
    /// Path prefix; it starts and ends with a slash.
    pub path_prefix: String,
    /// Whether requests may be repeated, and whether the answer is a stream.
    pub kind: RequestKind,
    /// Longest time from the arrival of a request to the end of its answer.
    pub timeout_ms: u64,
    /// Target for the time to the complete answer, or to the first event of a stream.
    pub target_ms: u64,
    /// Target for the gap between two events of a stream; 0 if there is none.
    #[serde(default)]
    pub event_gap_ms: u64,
    /// Priority of the requests in the engines' own queues; 0 is the highest and 9 the lowest. The
    /// router itself has three tiers: priorities from 2 on share the last one.
    pub tier: u8,
    /// Maximum number of upstreams that may be tried for one request.
    pub attempts_max: u32,
    /// Whether callers need no API key.
    #[serde(default)]
    pub public: bool,
    /// Services among which the requests are split, by weight.
    pub shares: Vec<Share>,
}

impl Route {
    /// Selects the service for a request by a number that is uniformly distributed over requests.
    ///
    /// Returns `None` if the weights of all shares are 0.
    ///
    /// # Examples
    ///
    /// ```
    /// use settings::{RequestKind, Route, Share};
    ///
    /// let share = |service: &str, weight| Share { service: service.into(), weight };
    /// let route = Route {
    ///     name: "stock".into(),
    ///     host: "shop.example".into(),
    ///     path_prefix: "/stock/".into(),
    ///     kind: RequestKind::Idempotent,
    ///     timeout_ms: 1_000,
    ///     target_ms: 200,
    ///     event_gap_ms: 0,
    ///     tier: 0,
    ///     attempts_max: 2,
    ///     public: false,
    ///     shares: vec![share("old", 90), share("new", 10)],
    /// };
    /// assert_eq!(route.service(89), Some("old"));
    /// assert_eq!(route.service(99), Some("new"));
    /// ```
    #[must_use]
    pub fn service(&self, number: u64) -> Option<&str> {
        let total: u64 = self.shares.iter().map(|share| share.weight).sum();
        let mut remaining = number.checked_rem(total)?;
        for share in &self.shares {
            if remaining < share.weight {
                return Some(&share.service);
            }
            remaining -= share.weight;
        }
        None
    }
}
