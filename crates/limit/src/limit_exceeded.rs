/// Limit that a request would exceed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitExceeded {
    /// Request rate.
    Rate {
        /// Time until the next request may be admitted.
        retry_after_us: u64,
    },
    /// Requests in flight.
    Requests,
    /// Tokens in flight.
    Tokens,
}
