/// Size from which a body counts as large, such as a photo or a long manual.
const LARGE_BYTES: u64 = 256 * 1024;

/// Share of the rate that each of the two lower tiers has for itself, so that higher tiers can't
/// starve it.
const TIER_SHARE: f64 = 0.1;

/// Share of the shared bucket that each tier must leave to the higher tiers.
const SHARED_RESERVE: [f64; 3] = [0.0, 0.25, 0.5];

/// Additional share of the shared bucket that large bodies must leave to small ones.
const LARGE_BODY_RESERVE: f64 = 0.25;

/// Rate assumed for transfer times while no budget is set: a region link of 30 Mbit/s.
const DEFAULT_BYTES_PER_S: f64 = 3_750_000.0;

/// Budget of bytes that this daemon may send to other regions.
///
/// A shared token bucket holds one second of its rate. Lower tiers must leave a reserve in it to
/// higher tiers, and each has a small bucket of its own. A body larger than a bucket passes when
/// the bucket is full and makes its level negative.
#[derive(Debug, Clone, Default)]
pub struct LinkBudget {
    /// Rate of all buckets together; `None` while there is no limit.
    bytes_per_s: Option<f64>,
    /// Level of the shared bucket in bytes.
    shared: f64,
    /// Levels in bytes of the buckets of tiers 1 and 2.
    tier_buckets: [f64; 2],
    refilled_us: u64,
}

impl LinkBudget {
    /// Sets the rate. The first call fills the buckets; later calls keep their levels, because a
    /// daemon's share changes whenever a host joins or fails.
    #[expect(clippy::cast_precision_loss, reason = "rates are far below 2^52")]
    pub fn set_rate(&mut self, bytes_per_s: u64) {
        let first = self.bytes_per_s.replace(bytes_per_s as f64).is_none();
        let (shared_max, tier_bucket_max) = (self.shared_max(), self.tier_bucket_max());
        self.shared = if first {
            shared_max
        } else {
            self.shared.min(shared_max)
        };
        for bucket in &mut self.tier_buckets {
            *bucket = if first {
                tier_bucket_max
            } else {
                bucket.min(tier_bucket_max)
            };
        }
    }

    /// Returns whether a body of this size counts as large.
    pub const fn is_large(body_bytes: u64) -> bool {
        body_bytes >= LARGE_BYTES
    }

    /// Returns the time that the transfer of a body takes.
    #[expect(clippy::cast_precision_loss, reason = "sizes are far below 2^52")]
    pub fn transfer_us(&self, body_bytes: u64) -> f64 {
        let rate = self.bytes_per_s.unwrap_or(DEFAULT_BYTES_PER_S).max(1.0);
        body_bytes as f64 * 1e6 / rate
    }

    /// Returns whether a body may be sent now; always true while no rate is set.
    pub fn allows(&self, tier: u8, body_bytes: u64) -> bool {
        self.shared_bucket_allows(tier, body_bytes) || self.tier_bucket_allows(tier, body_bytes)
    }

    /// Refills the buckets up to now.
    #[expect(clippy::cast_precision_loss, reason = "intervals are far below 2^52")]
    pub fn advance(&mut self, now_us: u64) {
        let elapsed_s = now_us.saturating_sub(self.refilled_us) as f64 / 1e6;
        self.refilled_us = self.refilled_us.max(now_us);
        self.shared = (self.shared + self.shared_max() * elapsed_s).min(self.shared_max());
        let tier_bucket_max = self.tier_bucket_max();
        for bucket in &mut self.tier_buckets {
            *bucket = (*bucket + tier_bucket_max * elapsed_s).min(tier_bucket_max);
        }
    }

    /// Subtracts a body that is sent, from the tier's own bucket if the shared one has too little.
    #[expect(clippy::cast_precision_loss, reason = "sizes are far below 2^52")]
    pub fn take(&mut self, tier: u8, body_bytes: u64) {
        if self.bytes_per_s.is_none() {
            return;
        }
        if !self.shared_bucket_allows(tier, body_bytes) && tier > 0 {
            self.tier_buckets[tier_bucket_index(tier)] -= body_bytes as f64;
        } else {
            self.shared -= body_bytes as f64;
        }
    }

    #[expect(clippy::cast_precision_loss, reason = "sizes are far below 2^52")]
    fn shared_bucket_allows(&self, tier: u8, body_bytes: u64) -> bool {
        if self.bytes_per_s.is_none() {
            return true;
        }
        let large = if Self::is_large(body_bytes) {
            LARGE_BODY_RESERVE
        } else {
            0.0
        };
        let reserve = SHARED_RESERVE[usize::from(tier).min(2)] + large;
        let full = self.shared_max();
        let covered = self.shared - body_bytes as f64 >= reserve * full;
        self.shared > 0.0 && (covered || self.shared >= full)
    }

    #[expect(clippy::cast_precision_loss, reason = "sizes are far below 2^52")]
    fn tier_bucket_allows(&self, tier: u8, body_bytes: u64) -> bool {
        let tier_bucket_max = self.tier_bucket_max();
        let bucket = self.tier_buckets[tier_bucket_index(tier)];
        tier > 0 && bucket > 0.0 && (bucket >= tier_bucket_max || bucket >= body_bytes as f64)
    }

    fn shared_max(&self) -> f64 {
        self.bytes_per_s.unwrap_or(0.0) * (1.0 - 2.0 * TIER_SHARE)
    }

    fn tier_bucket_max(&self) -> f64 {
        self.bytes_per_s.unwrap_or(0.0) * TIER_SHARE
    }
}

/// Returns the index in `tier_buckets` of a tier other than 0.
fn tier_bucket_index(tier: u8) -> usize {
    usize::from(tier.clamp(1, 2)) - 1
}
