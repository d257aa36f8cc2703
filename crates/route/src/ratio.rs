/// Time after which an observation without successors counts for 1/e. Short enough that an
/// upstream that recovered returns within seconds without traffic.
const DECAY_US: f64 = 2_000_000.0;

/// Largest weight of the past, so that several slow tokens outweigh a long good record.
const WEIGHT_MAX: f64 = 16.0;

/// Weight of the assumption that the upstream behaves like its peers.
const PRIOR: f64 = 1.0;

/// Largest ratio of one observation; bounds what a single stall can do.
const RATIO_MAX: f64 = 32.0;

/// Mean of observed over expected times, weighted towards the recent past.
#[derive(Debug, Clone, Default)]
pub struct Ratio {
    sum: f64,
    weight: f64,
    at_us: u64,
}

impl Ratio {
    /// Takes in an observation of this weight.
    pub fn observe(&mut self, now_us: u64, ratio: f64, weight: f64) {
        let weight = weight.min(WEIGHT_MAX);
        let keep = self.keep(now_us);
        let kept = (self.weight * keep).max(f64::MIN_POSITIVE);
        let keep = keep * ((WEIGHT_MAX - weight) / kept).min(1.0);
        self.sum = self.sum * keep + ratio.clamp(0.0, RATIO_MAX) * weight;
        self.weight = self.weight * keep + weight;
        self.at_us = self.at_us.max(now_us);
    }

    /// Returns the weight of what was observed.
    pub fn weight(&self, now_us: u64) -> f64 {
        self.weight * self.keep(now_us)
    }

    /// Returns the mean ratio, if it rests on at least one recent observation.
    pub fn mean(&self, now_us: u64) -> Option<f64> {
        (self.weight(now_us) >= 1.0).then(|| self.sum / self.weight)
    }

    /// Returns the ratio to the peers' median; without recent observations it tends to 1.
    pub fn relative(&self, now_us: u64, median: f64) -> f64 {
        let keep = self.keep(now_us);
        (self.sum * keep / median + PRIOR) / (self.weight * keep + PRIOR)
    }

    #[expect(clippy::cast_precision_loss, reason = "intervals are far below 2^52")]
    fn keep(&self, now_us: u64) -> f64 {
        (-(now_us.saturating_sub(self.at_us) as f64) / DECAY_US).exp()
    }
}
