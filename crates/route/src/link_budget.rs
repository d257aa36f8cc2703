/// Size from which a body counts as large: a photo or a long manual.
const LARGE_BYTES: u64 = 256 * 1024;

/// Share of the rate that each of the two lower tiers gets for itself, so that it is served too.
const OWN_SHARE: f64 = 0.1;

/// Share of the shared bucket that a tier leaves to the higher ones.
const RESERVE: [f64; 3] = [0.0, 0.25, 0.5];

/// Further share that large bodies leave to small ones.
const RESERVE_LARGE: f64 = 0.25;

/// Rate assumed for the transfer time while no budget is set: the 30 Mbit/s of a region link.
const DEFAULT_BYTES_PER_S: f64 = 3_750_000.0;

/// Bytes that this daemon may send to other regions.
///
/// A token bucket that holds one second's worth. Lower tiers leave a reserve to higher ones and
/// have a small bucket of their own. A body larger than a bucket passes when the bucket is full and
/// leaves a debt.
#[derive(Debug, Clone, Default)]
pub struct LinkBudget {
    bytes_per_s: Option<f64>,
    shared: f64,
    own: [f64; 2],
    at_us: u64,
}

impl LinkBudget {
    /// Sets the rate. The first call fills the buckets; later ones keep what was used, because a
    /// daemon's share changes whenever a host joins or fails.
    #[expect(clippy::cast_precision_loss, reason = "rates are far below 2^52")]
    pub fn set(&mut self, bytes_per_s: u64) {
        let first = self.bytes_per_s.replace(bytes_per_s as f64).is_none();
        let (shared_max, own_max) = (self.shared_max(), self.own_max());
        self.shared = if first {
            shared_max
        } else {
            self.shared.min(shared_max)
        };
        for own in &mut self.own {
            *own = if first { own_max } else { own.min(own_max) };
        }
    }

    /// Returns whether a body of this size counts as large.
    pub const fn is_large(body_bytes: u64) -> bool {
        body_bytes >= LARGE_BYTES
    }

    /// Returns how long the transfer of a body takes.
    #[expect(clippy::cast_precision_loss, reason = "sizes are far below 2^52")]
    pub fn transfer_us(&self, body_bytes: u64) -> f64 {
        let rate = self.bytes_per_s.unwrap_or(DEFAULT_BYTES_PER_S).max(1.0);
        body_bytes as f64 * 1e6 / rate
    }

    /// Returns whether a body may be sent now.
    pub fn allows(&self, tier: u8, body_bytes: u64) -> bool {
        self.allows_shared(tier, body_bytes) || self.allows_own(tier, body_bytes)
    }

    /// Adds what has accrued up to now.
    #[expect(clippy::cast_precision_loss, reason = "intervals are far below 2^52")]
    pub fn advance(&mut self, now_us: u64) {
        let elapsed_s = now_us.saturating_sub(self.at_us) as f64 / 1e6;
        self.at_us = self.at_us.max(now_us);
        self.shared = (self.shared + self.shared_max() * elapsed_s).min(self.shared_max());
        let own_max = self.own_max();
        for own in &mut self.own {
            *own = (*own + own_max * elapsed_s).min(own_max);
        }
    }

    /// Subtracts a body that is sent.
    #[expect(clippy::cast_precision_loss, reason = "sizes are far below 2^52")]
    pub fn take(&mut self, tier: u8, body_bytes: u64) {
        if self.bytes_per_s.is_none() {
            return;
        }
        if !self.allows_shared(tier, body_bytes) && tier > 0 {
            self.own[own_index(tier)] -= body_bytes as f64;
        } else {
            self.shared -= body_bytes as f64;
        }
    }

    #[expect(clippy::cast_precision_loss, reason = "sizes are far below 2^52")]
    fn allows_shared(&self, tier: u8, body_bytes: u64) -> bool {
        if self.bytes_per_s.is_none() {
            return true;
        }
        let large = if Self::is_large(body_bytes) {
            RESERVE_LARGE
        } else {
            0.0
        };
        let reserve = RESERVE[usize::from(tier).min(2)] + large;
        let full = self.shared_max();
        let covered = self.shared - body_bytes as f64 >= reserve * full;
        self.shared > 0.0 && (covered || self.shared >= full)
    }

    #[expect(clippy::cast_precision_loss, reason = "sizes are far below 2^52")]
    fn allows_own(&self, tier: u8, body_bytes: u64) -> bool {
        let own_max = self.own_max();
        let own = self.own[own_index(tier)];
        tier > 0 && own > 0.0 && (own >= own_max || own >= body_bytes as f64)
    }

    fn shared_max(&self) -> f64 {
        self.bytes_per_s.unwrap_or(0.0) * (1.0 - 2.0 * OWN_SHARE)
    }

    fn own_max(&self) -> f64 {
        self.bytes_per_s.unwrap_or(0.0) * OWN_SHARE
    }
}

fn own_index(tier: u8) -> usize {
    usize::from(tier.clamp(1, 2)) - 1
}
