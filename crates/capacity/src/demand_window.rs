use std::collections::VecDeque;

/// Time over which the slope of the demand is measured. It is shorter than a wave and longer than
/// the noise of single requests.
const SLOPE_US: u64 = 2_000_000;

/// Largest factor by which the slope raises the expected demand. The middle of a step looks like a
/// steep slope, although it ends soon.
const SLOPE_FACTOR_MAX: f64 = 1.25;

/// Time constant of the moving average of the demand. Each estimate comes from a sample of the
/// callers and is off by its size.
const AVERAGE_US: f64 = 1_000_000.0;

/// Shortest interval between two samples that are kept.
const SAMPLE_INTERVAL_US: u64 = 250_000;

/// Demand of the last seconds, in busy upstreams.
#[derive(Debug, Clone, Default)]
pub struct DemandWindow {
    /// Oldest first.
    samples: VecDeque<Sample>,
    /// Time of the first sample with any demand.
    first_busy_us: Option<u64>,
    /// Moving average of the demand, and the time of its last change.
    average: f64,
    recorded_us: u64,
}

/// Demand at one time.
#[derive(Debug, Clone, Copy)]
struct Sample {
    time_us: u64,
    busy_upstreams: f64,
    /// What the slope at that time led to.
    ahead: f64,
}

impl DemandWindow {
    /// Records the present demand, looks `ahead_us` ahead by its slope, and forgets what is older
    /// than `span_us`.
    pub fn record(&mut self, now_us: u64, busy_upstreams: f64, ahead_us: u64, span_us: u64) {
        if busy_upstreams > 0.0 {
            self.first_busy_us.get_or_insert(now_us);
        }
        let elapsed_us = to_f64(now_us.saturating_sub(self.recorded_us));
        self.recorded_us = now_us;
        self.average += (1.0 - (-elapsed_us / AVERAGE_US).exp()) * (busy_upstreams - self.average);
        let busy_upstreams = self.average;
        match self.samples.back_mut() {
            Some(last) if now_us < last.time_us + SAMPLE_INTERVAL_US => {
                last.busy_upstreams = last.busy_upstreams.max(busy_upstreams);
            }
            _ => self.samples.push_back(Sample {
                time_us: now_us,
                busy_upstreams,
                ahead: 0.0,
            }),
        }
        let rise = self.slope_per_us(now_us) * to_f64(ahead_us);
        if let Some(last) = self.samples.back_mut() {
            let ahead = last.busy_upstreams + rise;
            last.ahead = ahead.min(last.busy_upstreams * SLOPE_FACTOR_MAX);
        }
        while self
            .samples
            .front()
            .is_some_and(|sample| sample.time_us + span_us < now_us)
        {
            self.samples.pop_front();
        }
    }

    /// Returns whether there was any demand yet.
    pub const fn has_demand(&self) -> bool {
        self.first_busy_us.is_some()
    }

    /// Returns whether demand has been followed for `span_us`.
    pub fn covers(&self, now_us: u64, span_us: u64) -> bool {
        self.first_busy_us
            .is_some_and(|first_us| first_us + span_us <= now_us)
    }

    /// Returns the latest demand.
    pub fn latest(&self) -> f64 {
        self.samples
            .back()
            .map_or(0.0, |sample| sample.busy_upstreams)
    }

    /// Returns the largest demand, or what its slope led to if that is more.
    pub fn expected(&self) -> f64 {
        let samples = self.samples.iter();
        samples.fold(0.0, |peak, sample| sample.ahead.max(peak))
    }

    /// Returns by how much the demand rises for each microsecond; 0 if it falls.
    fn slope_per_us(&self, now_us: u64) -> f64 {
        let mut recent = self
            .samples
            .iter()
            .filter(|sample| sample.time_us + SLOPE_US >= now_us);
        let (Some(from), Some(to)) = (recent.next(), recent.next_back()) else {
            return 0.0;
        };
        let elapsed_us = to.time_us.saturating_sub(from.time_us);
        if elapsed_us < SLOPE_US / 2 {
            return 0.0;
        }
        ((to.busy_upstreams - from.busy_upstreams) / to_f64(elapsed_us)).max(0.0)
    }
}

#[expect(clippy::cast_precision_loss, reason = "intervals are far below 2^52")]
const fn to_f64(value_us: u64) -> f64 {
    value_us as f64
}
