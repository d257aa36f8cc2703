/// What the dispatcher may do with a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobPolicy {
    /// Attempts that may have run.
    pub attempts_max: u32,
    /// Attempts that an upstream rejected without having run them.
    pub rejections_max: u32,
    /// Attempts of which nothing was sent.
    pub unsent_max: u32,
    /// Whether an error answer is a reason for another attempt, if the job is idempotent.
    pub retries_errors: bool,
    /// Whether an attempt may be cancelled for a job of a higher tier, if the job is idempotent.
    pub preemptable: bool,
}

/// Attempts of which nothing was sent, unless set otherwise. Each takes its upstream out for a while, so
/// that a job meets as many only if most upstreams are gone; its deadline bounds the time.
const UNSENT_MAX: u32 = 16;

impl Default for JobPolicy {
    /// Returns three attempts that reach an upstream, and none after an error answer.
    fn default() -> Self {
        Self {
            attempts_max: 3,
            rejections_max: 3,
            unsent_max: UNSENT_MAX,
            retries_errors: false,
            preemptable: true,
        }
    }
}
