use std::collections::VecDeque;

/// Time over which the slope of the demand is measured. It is shorter than a wave and longer than
/// the noise of single requests.
const SLOPE_US: u64 = 2_000_000;

/// Shortest interval between two samples that are kept.
const SAMPLE_INTERVAL_US: u64 = 250_000;

/// Demand of the last seconds, in busy servers.
#[derive(Debug, Clone, Default)]
pub struct DemandWindow {
    /// Times and values, oldest first.
    samples: VecDeque<(u64, f64)>,
    /// Time of the first sample with any demand.
    first_busy_us: Option<u64>,
}

impl DemandWindow {
    /// Records the present demand and forgets what is older than `span_us`.
    pub fn record(&mut self, now_us: u64, busy_servers: f64, span_us: u64) {
        if busy_servers > 0.0 {
            self.first_busy_us.get_or_insert(now_us);
        }
        match self.samples.back_mut() {
            Some((time_us, value)) if now_us < *time_us + SAMPLE_INTERVAL_US => {
                *value = value.max(busy_servers);
            }
            _ => self.samples.push_back((now_us, busy_servers)),
        }
        while self
            .samples
            .front()
            .is_some_and(|&(time_us, _)| time_us + span_us < now_us)
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
        self.samples.back().map_or(0.0, |&(_, value)| value)
    }

    /// Returns the largest demand, or what the present slope leads to after `ahead_us` if that is
    /// more.
    pub fn expected(&self, now_us: u64, ahead_us: u64) -> f64 {
        let peak = self
            .samples
            .iter()
            .fold(0.0_f64, |peak, &(_, value)| peak.max(value));
        peak.max(self.latest() + self.slope_per_us(now_us) * to_f64(ahead_us))
    }

    /// Returns by how much the demand rises for each microsecond; 0 if it falls.
    fn slope_per_us(&self, now_us: u64) -> f64 {
        let mut recent = self
            .samples
            .iter()
            .filter(|&&(time_us, _)| time_us + SLOPE_US >= now_us);
        let (Some(&(from_us, from)), Some(&(to_us, to))) = (recent.next(), recent.next_back())
        else {
            return 0.0;
        };
        let elapsed_us = to_us.saturating_sub(from_us);
        if elapsed_us < SLOPE_US / 2 {
            return 0.0;
        }
        ((to - from) / to_f64(elapsed_us)).max(0.0)
    }
}

#[expect(clippy::cast_precision_loss, reason = "intervals are far below 2^52")]
const fn to_f64(value_us: u64) -> f64 {
    value_us as f64
}
