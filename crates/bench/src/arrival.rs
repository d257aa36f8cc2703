//! Distribution of callers over daemons.

use std::str::FromStr;

/// How callers are distributed over the daemons of their region.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Arrival {
    /// Every daemon gets the same share.
    Balanced,
    /// The n-th daemon of a region gets a share in proportion to 1/n.
    Skewed,
}

impl Arrival {
    /// Returns the weight of the daemon with this rank in its region.
    pub(crate) fn weight(self, rank: u32) -> f64 {
        match self {
            Self::Balanced => 1.0,
            Self::Skewed => 1.0 / f64::from(rank + 1),
        }
    }
}

impl FromStr for Arrival {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "balanced" => Ok(Self::Balanced),
            "skewed" => Ok(Self::Skewed),
            _ => Err(format!("unknown arrival {text}")),
        }
    }
}
