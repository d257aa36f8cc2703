use std::sync::Arc;

use crate::{Allowance, LimitExceeded, TokenBucket};

/// Limits of one client account and its current usage on this daemon.
#[derive(Debug)]
pub(crate) struct AccountLimit {
    pub(crate) name: Arc<str>,
    /// Limits for the whole fleet.
    pub(crate) fleet: Allowance,
    /// This daemon's share of `fleet`.
    share: Allowance,
    bucket: TokenBucket,
    /// Requests in flight.
    pub(crate) requests: u32,
    /// Tokens in flight.
    tokens: u64,
}

impl AccountLimit {
    pub(crate) fn new(now_us: u64, name: &str, fleet: Allowance, daemons: u32) -> Self {
        let share = fleet.share(daemons);
        Self {
            name: name.into(),
            fleet,
            share,
            bucket: TokenBucket::new(now_us, share.requests_per_s),
            requests: 0,
            tokens: 0,
        }
    }

    pub(crate) fn set_allowance(&mut self, now_us: u64, fleet: Allowance, daemons: u32) {
        self.fleet = fleet;
        self.share = fleet.share(daemons);
        self.bucket.set_rate(now_us, self.share.requests_per_s);
    }

    pub(crate) fn admit(&mut self, now_us: u64, tokens: u64) -> Result<(), LimitExceeded> {
        if self.requests >= self.share.requests_in_flight {
            return Err(LimitExceeded::Requests);
        }
        // A request larger than the whole share may run alone; otherwise it could never run.
        if self.tokens > 0 && self.tokens.saturating_add(tokens) > self.share.tokens_in_flight {
            return Err(LimitExceeded::Tokens);
        }
        if !self.bucket.try_take(now_us) {
            let retry_after_us = self.bucket.wait_us(now_us);
            return Err(LimitExceeded::Rate { retry_after_us });
        }
        self.requests += 1;
        self.tokens += tokens;
        Ok(())
    }

    pub(crate) fn release(&mut self, tokens: u64) {
        self.requests = self.requests.saturating_sub(1);
        self.tokens = self.tokens.saturating_sub(tokens);
    }
}
