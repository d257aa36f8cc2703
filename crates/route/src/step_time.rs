//! Prediction of the gap between two events of a stream.

use crate::fit::Fit;

/// Factor by which the unread prompts must outlast a gap for the gap to count as fully taken up by
/// prefill: estimates of unread tokens are rough.
const SATURATED_FACTOR: f64 = 2.0;

/// Model of the batching steps of one kind of engine.
///
/// An engine interleaves the tokens of its streams with chunks of unread prompts, so a gap between
/// two events has a part for the tokens, which grows with the number of streams, and a part for the
/// prefill, which is bounded by the chunks of as many steps. Neither the chunk nor the tokens of an
/// event are declared: both parts are fitted to observed gaps, without and with prefill.
///
/// ```ignore
/// let mut steps = StepTime::new();
/// steps.observe(8.0, 0.0, 21_000.0);
/// assert!(steps.gap_us(8.0, 10_000.0) >= steps.gap_us(8.0, 0.0));
/// ```
#[derive(Debug, Clone)]
pub struct StepTime {
    /// Gap in microseconds without prefill, by running streams.
    idle: Fit,
    /// Gap in microseconds while prompts are prefilled all the time, by running streams.
    saturated: Fit,
}

impl StepTime {
    /// Creates a model that starts from the speed of a mid-size model.
    pub const fn new() -> Self {
        Self {
            idle: Fit::new((1.0, 25_000.0), (32.0, 35_000.0)),
            saturated: Fit::new((1.0, 100_000.0), (32.0, 130_000.0)),
        }
    }

    /// Records a gap during which `prefill_us` of prefill work was left on the engine.
    pub fn observe(&mut self, running: f64, prefill_us: f64, gap_us: f64) {
        if prefill_us <= 0.0 {
            self.idle.observe(running, gap_us);
        } else if prefill_us >= SATURATED_FACTOR * self.saturated.predict(running) {
            self.saturated.observe(running, gap_us);
        }
    }

    /// Returns the largest prefill work in one gap.
    pub fn prefill_max_us(&self, running: f64) -> f64 {
        (self.saturated.predict(running) - self.idle.predict(running)).max(0.0)
    }

    /// Returns the expected gap beside `running` streams and `prefill_us` of prefill work.
    pub fn gap_us(&self, running: f64, prefill_us: f64) -> f64 {
        self.idle.predict(running) + prefill_us.min(self.prefill_max_us(running))
    }
}

#[cfg(test)]
#[path = "step_time_tests.rs"]
mod tests;
