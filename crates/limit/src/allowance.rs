/// Limits of one client account over the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Allowance {
    /// Request rate.
    pub requests_per_s: u32,
    /// Requests queued or running.
    pub requests_in_flight: u32,
    /// Prompt and expected answer tokens queued or running.
    pub tokens_in_flight: u64,
}

impl Allowance {
    /// Returns an equal share for one of `daemons`, rounded up so that no account is shut out.
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
