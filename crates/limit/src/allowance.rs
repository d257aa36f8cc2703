/// Limits of one client account, for the whole fleet or as one daemon's share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Allowance {
    /// Requests admitted per second.
    pub requests_per_s: u32,
    /// Requests that may be queued or running.
    pub requests_in_flight: u32,
    /// Prompt and expected output tokens of queued or running requests.
    pub tokens_in_flight: u64,
}

impl Allowance {
    /// Returns the equal share of one of `daemons`, rounded up so that a small limit doesn't shut
    /// out an account.
    #[must_use]
    pub fn share(self, daemons: u32) -> Self {
        let daemons = daemons.max(1);
        Self {
            requests_per_s: self.requests_per_s.div_ceil(daemons),
            requests_in_flight: self.requests_in_flight.div_ceil(daemons),
            tokens_in_flight: self.tokens_in_flight.div_ceil(u64::from(daemons)),
        }
    }
}
