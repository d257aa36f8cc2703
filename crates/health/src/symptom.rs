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
