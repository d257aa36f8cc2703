/// Time constant of the exponential decay of observations. It is short, so that an upstream that
/// has recovered returns within seconds even if it gets no traffic.
const DECAY_US: f64 = 2_000_000.0;

/// Largest total weight, so that a few slow tokens outweigh a long good record.
const WEIGHT_MAX: f64 = 16.0;

/// Weight of the prior assumption that the upstream performs like its peers.
const PRIOR: f64 = 1.0;

/// Largest ratio of one observation, which bounds the effect of a single stall.
const RATIO_MAX: f64 = 32.0;

/// Exponentially decaying mean of the ratio of observed to expected times.
#[derive(Debug, Clone, Default)]
pub struct Ratio {
    sum: f64,
    weight: f64,
    updated_us: u64,
}

impl Ratio {
    /// Adds an observation with a weight.
    pub fn observe(&mut self, now_us: u64, ratio: f64, weight: f64) {
        let weight = weight.min(WEIGHT_MAX);
        let decay = self.decay(now_us);
        let decayed_weight = (self.weight * decay).max(f64::MIN_POSITIVE);
        let decay = decay * ((WEIGHT_MAX - weight) / decayed_weight).min(1.0);
        self.sum = self.sum * decay + ratio.clamp(0.0, RATIO_MAX) * weight;
        self.weight = self.weight * decay + weight;
        self.updated_us = self.updated_us.max(now_us);
    }

    /// Returns the decayed total weight of the observations.
    pub fn weight(&self, now_us: u64) -> f64 {
        self.weight * self.decay(now_us)
    }

    /// Returns the mean ratio, if the decayed weight is at least that of one observation.
    pub fn mean(&self, now_us: u64) -> Option<f64> {
        (self.weight(now_us) >= 1.0).then(|| self.sum / self.weight)
    }

    /// Returns the mean ratio relative to the median of the peers. It tends to 1 as observations
    /// decay.
    pub fn relative(&self, now_us: u64, median: f64) -> f64 {
        let decay = self.decay(now_us);
        (self.sum * decay / median + PRIOR) / (self.weight * decay + PRIOR)
    }

    #[expect(clippy::cast_precision_loss, reason = "intervals are far below 2^52")]
    fn decay(&self, now_us: u64) -> f64 {
        (-(now_us.saturating_sub(self.updated_us) as f64) / DECAY_US).exp()
    }
}
