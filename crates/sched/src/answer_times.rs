use std::sync::Arc;

/// Largest number of classes with an estimate; beyond it the least used one is dropped.
const CLASSES_MAX: usize = 256;

/// Weight of a new observation in the mean, as a divisor (RFC 6298, section 2).
const MEAN_DIVISOR: u64 = 8;

/// Weight of a new observation in the mean deviation, as a divisor (RFC 6298, section 2).
const DEVIATION_DIVISOR: u64 = 4;

/// Mean deviations above the mean within which almost all answers end (RFC 6298, section 2).
const DEVIATIONS: u64 = 4;

/// Running estimates of the time from the start of an attempt to the end of its answer, by class.
#[derive(Debug, Default)]
pub(crate) struct AnswerTimes {
    /// Sorted by class.
    estimates: Vec<Estimate>,
}

#[derive(Debug)]
struct Estimate {
    class: Arc<str>,
    mean_us: u64,
    deviation_us: u64,
    samples: u64,
}

impl AnswerTimes {
    /// Returns the time within which an answer of a class almost certainly ends; `None` before the
    /// first observation.
    pub(crate) fn longest_us(&self, class: &str) -> Option<u64> {
        let estimate = &self.estimates[self.index(class).ok()?];
        Some(estimate.mean_us + DEVIATIONS * estimate.deviation_us)
    }

    /// Records the time that a complete answer took.
    pub(crate) fn observe(&mut self, class: &Arc<str>, answer_us: u64) {
        match self.index(class) {
            Ok(index) => {
                let estimate = &mut self.estimates[index];
                let error_us = estimate.mean_us.abs_diff(answer_us);
                estimate.deviation_us = moved(estimate.deviation_us, error_us, DEVIATION_DIVISOR);
                estimate.mean_us = moved(estimate.mean_us, answer_us, MEAN_DIVISOR);
                estimate.samples += 1;
            }
            Err(index) => {
                let estimate = Estimate {
                    class: class.clone(),
                    mean_us: answer_us,
                    deviation_us: answer_us / 2,
                    samples: 1,
                };
                self.estimates.insert(index, estimate);
                self.drop_least_used();
            }
        }
    }

    fn index(&self, class: &str) -> Result<usize, usize> {
        self.estimates
            .binary_search_by(|estimate| (*estimate.class).cmp(class))
    }

    fn drop_least_used(&mut self) {
        if self.estimates.len() <= CLASSES_MAX {
            return;
        }
        let estimates = self.estimates.iter().enumerate();
        if let Some((index, _)) = estimates.min_by_key(|(_, estimate)| estimate.samples) {
            self.estimates.remove(index);
        }
    }
}

/// Moves a mean towards an observation whose weight is `1 / divisor`.
const fn moved(mean: u64, observation: u64, divisor: u64) -> u64 {
    if observation >= mean {
        mean + (observation - mean) / divisor
    } else {
        mean - (mean - observation) / divisor
    }
}
