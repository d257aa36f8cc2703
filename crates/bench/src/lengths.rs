//! Distributions of prompt, answer and body lengths.

use rand::{Rng, RngExt as _};
use rand_distr::{Distribution as _, Pareto};

use crate::number::{floor_to_u64, to_f64};

/// Bounded distribution of lengths.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Lengths {
    /// Uniform between the bounds.
    Uniform(u32, u32),
    /// Pareto of shape 1.3, from the lower bound and cut off at the upper one: a few lengths are
    /// many times the others.
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
                u32::try_from(floor_to_u64(tail)).unwrap_or(high).min(high)
            }
        }
    }

    /// Estimates the mean from a sample.
    pub(crate) fn mean<R>(self, rng: &mut R) -> f64
    where
        R: Rng,
    {
        const SAMPLE: u64 = 4_000;
        let sum: u64 = (0..SAMPLE).map(|_| u64::from(self.draw(rng))).sum();
        to_f64(sum) / to_f64(SAMPLE)
    }
}
