/// Microtokens in a token. A rate in tokens per second is the same number of microtokens per
/// microsecond, so that a refill is exact in integers.
const MICROTOKENS_PER_TOKEN: u64 = 1_000_000;

/// Token bucket whose capacity is one second of its rate, but at least one token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TokenBucket {
    rate_per_s: u64,
    level_microtokens: u64,
    /// Time of the last refill.
    refilled_us: u64,
}

impl TokenBucket {
    /// Creates a full bucket.
    #[must_use]
    pub fn new(now_us: u64, rate_per_s: u32) -> Self {
        let rate_per_s = u64::from(rate_per_s);
        Self {
            rate_per_s,
            level_microtokens: rate_per_s.max(1) * MICROTOKENS_PER_TOKEN,
            refilled_us: now_us,
        }
    }

    /// Changes the rate. Available tokens are kept, up to the new capacity.
    pub fn set_rate(&mut self, now_us: u64, rate_per_s: u32) {
        self.refill(now_us);
        self.rate_per_s = u64::from(rate_per_s);
        self.level_microtokens = self.level_microtokens.min(self.capacity());
    }

    /// Returns the time until a token is available: 0 if there is one now, `u64::MAX` if the rate
    /// is 0.
    pub fn wait_us(&mut self, now_us: u64) -> u64 {
        self.refill(now_us);
        let missing = MICROTOKENS_PER_TOKEN.saturating_sub(self.level_microtokens);
        missing
            .checked_div(self.rate_per_s)
            .map_or(u64::MAX, |wait| {
                wait + u64::from(wait * self.rate_per_s < missing)
            })
    }

    /// Takes a token if one is available; returns whether it did.
    pub fn try_take(&mut self, now_us: u64) -> bool {
        let available = self.rate_per_s > 0 && self.wait_us(now_us) == 0;
        if available {
            self.level_microtokens -= MICROTOKENS_PER_TOKEN;
        }
        available
    }

    fn capacity(&self) -> u64 {
        self.rate_per_s.max(1) * MICROTOKENS_PER_TOKEN
    }

    fn refill(&mut self, now_us: u64) {
        let elapsed_us = now_us.saturating_sub(self.refilled_us);
        let added = elapsed_us.saturating_mul(self.rate_per_s);
        self.level_microtokens = self
            .level_microtokens
            .saturating_add(added)
            .min(self.capacity());
        self.refilled_us = self.refilled_us.max(now_us);
    }
}
