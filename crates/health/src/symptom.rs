use serde::{Deserialize, Serialize};

/// What a daemon observed at an upstream that didn't answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Symptom {
    /// The upstream's host refused the connection: it is reachable, and nothing listens there.
    Refused,
    /// Nothing answered: a connection attempt timed out, or sent bytes weren't acknowledged.
    Silent,
    /// Several requests were lost at the same moment.
    Cut,
}

impl Symptom {
    /// Evidence that has to come together before an upstream is doubted.
    pub(crate) const WEIGHT_MIN: u32 = 2;

    /// Returns the time after an observation at which it no longer counts, in microseconds.
    ///
    /// An upstream may be back at any time. Trying one that refuses connections costs a round trip;
    /// trying one that is silent costs the time limit for connecting.
    pub(crate) const fn lifetime_us(self) -> u64 {
        match self {
            Self::Refused | Self::Cut => 1_000_000,
            Self::Silent => 3_000_000,
        }
    }

    /// Returns how much this observation of one daemon counts.
    ///
    /// A refusal can only come from the upstream's host. The others may be the fault of the
    /// reporter's links, so that a second daemon has to confirm them.
    pub(crate) const fn weight(self) -> u32 {
        match self {
            Self::Refused => 2,
            Self::Silent | Self::Cut => 1,
        }
    }
}
