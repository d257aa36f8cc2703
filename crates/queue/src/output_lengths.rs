use std::sync::Arc;

/// Largest number of estimates, one per class and lane; beyond it the least used one is dropped.
const ESTIMATES_MAX: usize = 256;

/// Expected output tokens before the first observation.
const DEFAULT_TOKENS: u32 = 256;

/// Binary logarithm of the smoothing divisor: a new observation has weight 1/16, so that the mean
/// covers about the last 30 answers.
const SHIFT: u32 = 4;

/// Running estimates of output lengths by service class and lane.
#[derive(Debug, Default)]
pub struct OutputLengths {
    /// Sorted by class and lane.
    estimates: Vec<Estimate>,
}

/// Estimate for one class and lane.
#[derive(Debug)]
struct Estimate {
    class: Arc<str>,
    lane: usize,
    /// Moving mean in 1/16 tokens.
    mean: u64,
    /// Running estimate of the median, which a few very long answers hardly change.
    median: u32,
    samples: u64,
}

impl OutputLengths {
    /// Returns the mean number of output tokens, at most `max_tokens` unless that is 0.
    #[must_use]
    pub fn expected(&self, class: &str, lane: usize, max_tokens: u32) -> u32 {
        let mean = self.index(class, lane).map_or(DEFAULT_TOKENS, |index| {
            u32::try_from(self.estimates[index].mean >> SHIFT).unwrap_or(u32::MAX)
        });
        cap(mean, max_tokens)
    }

    /// Returns the median number of output tokens, at most `max_tokens` unless that is 0.
    #[must_use]
    pub fn median(&self, class: &str, lane: usize, max_tokens: u32) -> u32 {
        let median = self.index(class, lane);
        let median = median.map_or(DEFAULT_TOKENS, |index| self.estimates[index].median);
        cap(median, max_tokens)
    }

    /// Records the length of a complete answer.
    pub fn observe(&mut self, class: &Arc<str>, lane: usize, tokens: u32) {
        let sample = u64::from(tokens);
        match self.index(class, lane) {
            Ok(index) => {
                let estimate = &mut self.estimates[index];
                estimate.mean = estimate.mean - (estimate.mean >> SHIFT) + sample;
                let step = (estimate.median >> SHIFT).max(1);
                estimate.median = if tokens > estimate.median {
                    estimate.median.saturating_add(step)
                } else {
                    estimate.median.saturating_sub(step)
                };
                estimate.samples += 1;
            }
            Err(index) => {
                let estimate = Estimate {
                    class: class.clone(),
                    lane,
                    mean: sample << SHIFT,
                    median: tokens.min(DEFAULT_TOKENS),
                    samples: 1,
                };
                self.estimates.insert(index, estimate);
                self.drop_least_used();
            }
        }
    }

    /// Records an answer that was cut off, whose length is only a lower bound.
    pub fn observe_at_least(&mut self, class: &Arc<str>, lane: usize, tokens: u32) {
        if tokens > self.expected(class, lane, 0) {
            self.observe(class, lane, tokens);
        }
    }

    /// Returns the number of estimates.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.estimates.len()
    }

    /// Returns whether nothing has been observed.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.estimates.is_empty()
    }

    fn index(&self, class: &str, lane: usize) -> Result<usize, usize> {
        self.estimates
            .binary_search_by(|estimate| (&*estimate.class, estimate.lane).cmp(&(class, lane)))
    }

    fn drop_least_used(&mut self) {
        if self.estimates.len() <= ESTIMATES_MAX {
            return;
        }
        let least = self.estimates.iter().enumerate();
        if let Some((index, _)) = least.min_by_key(|(_, estimate)| estimate.samples) {
            self.estimates.remove(index);
        }
    }
}

fn cap(tokens: u32, max_tokens: u32) -> u32 {
    if max_tokens == 0 {
        tokens
    } else {
        tokens.min(max_tokens)
    }
}
