/// Limits on attempts and preemption of one job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobPolicy {
    /// Maximum number of failed attempts that may have run.
    pub attempts_max: u32,
    /// Maximum number of attempts that upstreams rejected without running them.
    pub rejections_max: u32,
    /// Maximum number of attempts of which nothing was sent.
    pub unsent_max: u32,
    /// Whether an idempotent job is retried after an error answer.
    pub retries_errors: bool,
    /// Whether an idempotent job may be preempted for other work.
    pub preemptable: bool,
}

/// Default for [`JobPolicy::unsent_max`].
///
/// Each such attempt ejects its upstream for a while, so that a job reaches this number only if
/// most upstreams are gone; its deadline bounds the time.
const UNSENT_MAX: u32 = 16;

impl Default for JobPolicy {
    /// Returns a policy of three attempts that reach an upstream, without retries of error answers.
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
