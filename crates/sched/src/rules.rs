/// What the dispatcher may do with a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rules {
    /// Attempts that may have run.
    pub attempts_max: u32,
    /// Attempts that ended without having run: not sent, or rejected.
    pub rejections_max: u32,
    /// Whether an error answer is a reason for another attempt, if the job is idempotent.
    pub retries_errors: bool,
    /// Whether an attempt may be cancelled for a job of a higher tier, if the job is idempotent.
    pub preemptable: bool,
}

impl Default for Rules {
    /// Returns three attempts of either outcome, and none after an error answer.
    fn default() -> Self {
        Self {
            attempts_max: 3,
            rejections_max: 3,
            retries_errors: false,
            preemptable: true,
        }
    }
}
