use serde::Serialize;

use crate::Step;

/// Step of a request and its time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Record {
    /// Time of the step on the host's monotonic clock.
    pub at_us: u64,
    /// What was decided or observed.
    #[serde(flatten)]
    pub step: Step,
}
