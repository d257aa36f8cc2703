use serde::{Deserialize, Serialize};

use crate::{RequestKind, Share};

/// Route from a host name and path prefix to the plain services or engines that serve it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Unique name.
    pub name: String,
    /// Host name that callers address.
    pub host: String,
    /// Beginning of the path, from slash to slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RequestKind,
    /// Longest time from the arrival of a request to the end of its answer.
    pub timeout_ms: u64,
    /// Time to the whole answer, or to the first event of a stream, that callers expect.
    pub target_ms: u64,
    /// Longest gap between two events of a stream that callers expect; 0 if there is no target.
    #[serde(default)]
    pub event_gap_ms: u64,
    /// Rank of its requests in the engines' own queues, 0 is the highest and 9 the lowest. The router
    /// has three tiers itself; ranks from 2 on share the last one.
    pub tier: u8,
    /// Upstreams that may run one request.
    pub attempts_max: u32,
    /// Whether callers need no API key.
    #[serde(default)]
    pub public: bool,
    /// Services that share the route's requests, by weight.
    pub shares: Vec<Share>,
}

impl Route {
    /// Returns the service for a request, by a number that is spread evenly over requests.
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
        let mut rest = number.checked_rem(total)?;
        for share in &self.shares {
            if rest < share.weight {
                return Some(&share.service);
            }
            rest -= share.weight;
        }
        None
    }
}
