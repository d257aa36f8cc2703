/// Microseconds in a second. One token is as many units of the level, which keeps the arithmetic in
/// integers.
const SECOND_US: u64 = 1_000_000;

/// Token bucket whose capacity is one second of its rate, but at least one token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TokenBucket {
    rate_per_s: u64,
    /// Level in millionths of a token.
    level: u64,
    refilled_us: u64,
}

impl TokenBucket {
    /// Creates a full bucket.
    #[must_use]
    pub fn new(now_us: u64, rate_per_s: u32) -> Self {
        let rate_per_s = u64::from(rate_per_s);
        Self {
            rate_per_s,
            level: rate_per_s.max(1) * SECOND_US,
            refilled_us: now_us,
        }
    }

    /// Changes the rate; the level is kept up to the new capacity.
    pub fn set_rate(&mut self, now_us: u64, rate_per_s: u32) {
        self.refill(now_us);
        self.rate_per_s = u64::from(rate_per_s);
        self.level = self.level.min(self.capacity());
    }

    /// Returns the time until a token is available; 0 if there is one now.
    pub fn wait_us(&mut self, now_us: u64) -> u64 {
        self.refill(now_us);
        let missing = SECOND_US.saturating_sub(self.level);
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
            self.level -= SECOND_US;
        }
        available
    }

    fn capacity(&self) -> u64 {
        self.rate_per_s.max(1) * SECOND_US
    }

    fn refill(&mut self, now_us: u64) {
        let elapsed_us = now_us.saturating_sub(self.refilled_us);
        let added = elapsed_us.saturating_mul(self.rate_per_s);
        self.level = self.level.saturating_add(added).min(self.capacity());
        self.refilled_us = self.refilled_us.max(now_us);
    }
}
