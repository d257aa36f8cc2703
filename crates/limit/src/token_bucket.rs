/// Microseconds in a second; also the unit of a token, so that the arithmetic stays in integers.
const SECOND_US: u64 = 1_000_000;

/// Token bucket that holds at most one second of its rate, and at least one token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TokenBucket {
    rate_per_s: u64,
    /// Millionths of a token.
    level: u64,
    filled_us: u64,
}

impl TokenBucket {
    /// Creates a full bucket.
    #[must_use]
    pub fn new(now_us: u64, rate_per_s: u32) -> Self {
        let rate_per_s = u64::from(rate_per_s);
        Self {
            rate_per_s,
            level: rate_per_s.max(1) * SECOND_US,
            filled_us: now_us,
        }
    }

    /// Changes the rate; the level is kept up to the new size.
    pub fn set_rate(&mut self, now_us: u64, rate_per_s: u32) {
        self.fill(now_us);
        self.rate_per_s = u64::from(rate_per_s);
        self.level = self.level.min(self.size());
    }

    /// Returns how long until a token is there; 0 if there is one now.
    pub fn wait_us(&mut self, now_us: u64) -> u64 {
        self.fill(now_us);
        let missing = SECOND_US.saturating_sub(self.level);
        missing
            .checked_div(self.rate_per_s)
            .map_or(u64::MAX, |wait| {
                wait + u64::from(wait * self.rate_per_s < missing)
            })
    }

    /// Takes a token if there is one.
    pub fn try_take(&mut self, now_us: u64) -> bool {
        let free = self.rate_per_s > 0 && self.wait_us(now_us) == 0;
        if free {
            self.level -= SECOND_US;
        }
        free
    }

    fn size(&self) -> u64 {
        self.rate_per_s.max(1) * SECOND_US
    }

    fn fill(&mut self, now_us: u64) {
        let elapsed_us = now_us.saturating_sub(self.filled_us);
        let gained = elapsed_us.saturating_mul(self.rate_per_s);
        self.level = self.level.saturating_add(gained).min(self.size());
        self.filled_us = self.filled_us.max(now_us);
    }
}
