/// Limit that a request would exceed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitExceeded {
    /// Request rate.
    Rate {
        /// Time until the next request fits.
        retry_after_us: u64,
    },
    /// Requests in flight.
    Requests,
    /// Tokens in flight.
    Tokens,
}
