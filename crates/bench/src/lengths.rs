use rand::{Rng, RngExt as _};
use rand_distr::{Distribution as _, Pareto};

use crate::number::{float, whole};

/// Bounded distribution of lengths.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Lengths {
    /// Every length between the bounds is as likely.
    Uniform(u32, u32),
    /// Pareto of shape 1.3 between the bounds: a few lengths are many times the others.
    HeavyTail(u32, u32),
}

impl Lengths {
    /// Draws a length.
    pub(crate) fn draw<R>(self, rng: &mut R) -> u32
    where
        R: Rng,
    {
        match self {
            Self::Uniform(low, high) => rng.random_range(low..=high),
            Self::HeavyTail(low, high) => {
                let tail = Pareto::new(f64::from(low), 1.3)
                    .map_or(f64::from(low), |tail| tail.sample(rng));
                u32::try_from(whole(tail)).unwrap_or(high).min(high)
            }
        }
    }

    /// Returns the mean of a sample.
    pub(crate) fn mean<R>(self, rng: &mut R) -> f64
    where
        R: Rng,
    {
        const SAMPLE: u64 = 4_000;
        let sum: u64 = (0..SAMPLE).map(|_| u64::from(self.draw(rng))).sum();
        float(sum) / float(SAMPLE)
    }
}
