/// Each new sample has a weight of 1/16.
const WEIGHT_SHIFT: u32 = 4;

/// Exponentially weighted moving average.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Mean {
    /// Mean, times 16.
    scaled: u64,
    samples: u32,
}

impl Mean {
    pub(crate) const fn add(&mut self, sample: u64) {
        self.scaled = if self.samples == 0 {
            sample << WEIGHT_SHIFT
        } else {
            self.scaled - (self.scaled >> WEIGHT_SHIFT) + sample
        };
        self.samples = self.samples.saturating_add(1);
    }

    pub(crate) const fn get(&self) -> u64 {
        self.scaled >> WEIGHT_SHIFT
    }

    pub(crate) const fn samples(&self) -> u32 {
        self.samples
    }
}
