use std::sync::Arc;

/// Largest number of classes times lanes; the least used estimate is dropped beyond it.
const ESTIMATES_MAX: usize = 256;

/// Expected output before the first observation.
const DEFAULT_TOKENS: u32 = 256;

/// Weight of a new observation, 1/16: a mean over about the last 30 answers.
const SHIFT: u32 = 4;

/// Output lengths learned by class of service and lane.
#[derive(Debug, Default)]
pub struct Lengths {
    /// Sorted by class and lane.
    estimates: Vec<Estimate>,
}

#[derive(Debug)]
struct Estimate {
    class: Arc<str>,
    lane: usize,
    /// Mean in 1/16 tokens.
    mean: u64,
    samples: u64,
}

impl Lengths {
    /// Returns the expected number of output tokens, at most `max_tokens` unless that is 0.
    #[must_use]
    pub fn expect(&self, class: &str, lane: usize, max_tokens: u32) -> u32 {
        let mean = match self.index(class, lane) {
            Ok(index) => u32::try_from(self.estimates[index].mean >> SHIFT).unwrap_or(u32::MAX),
            Err(_) => DEFAULT_TOKENS,
        };
        if max_tokens == 0 {
            mean
        } else {
            mean.min(max_tokens)
        }
    }

    /// Notes the length of a complete answer.
    pub fn observe(&mut self, class: &Arc<str>, lane: usize, tokens: u32) {
        let sample = u64::from(tokens);
        match self.index(class, lane) {
            Ok(index) => {
                let estimate = &mut self.estimates[index];
                estimate.mean = estimate.mean - (estimate.mean >> SHIFT) + sample;
                estimate.samples += 1;
            }
            Err(index) => {
                let estimate = Estimate {
                    class: class.clone(),
                    lane,
                    mean: sample << SHIFT,
                    samples: 1,
                };
                self.estimates.insert(index, estimate);
                self.drop_least_used();
            }
        }
    }

    /// Notes an answer that was cut off: it says only that the answer is at least this long.
    pub fn observe_at_least(&mut self, class: &Arc<str>, lane: usize, tokens: u32) {
        if tokens > self.expect(class, lane, 0) {
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
