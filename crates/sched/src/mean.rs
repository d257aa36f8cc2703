/// Weight of a new sample, 1/16.
const SHIFT: u32 = 4;

/// Exponentially weighted mean.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Mean {
    /// Mean in 1/16 of the unit.
    scaled: u64,
    samples: u32,
}

impl Mean {
    pub(crate) const fn add(&mut self, sample: u64) {
        self.scaled = if self.samples == 0 {
            sample << SHIFT
        } else {
            self.scaled - (self.scaled >> SHIFT) + sample
        };
        self.samples = self.samples.saturating_add(1);
    }

    pub(crate) const fn get(&self) -> u64 {
        self.scaled >> SHIFT
    }

    pub(crate) const fn samples(&self) -> u32 {
        self.samples
    }
}
