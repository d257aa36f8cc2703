use serde::Serialize;

use crate::Step;

/// Step of a request with its time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Record {
    /// Time on the host's monotonic clock.
    pub at_us: u64,
    /// What was decided or seen.
    #[serde(flatten)]
    pub step: Step,
}
