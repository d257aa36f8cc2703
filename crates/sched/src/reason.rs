//! Reasons for the decisions of the dispatcher.

use std::fmt;

use crate::JobId;

/// Why the dispatcher took a decision; the `Display` text goes into the audit.
///
/// A preempted job is cancelled and queued again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// Queued: no upstream of the model or service has a free slot.
    NoFreeSlot {
        /// Expected service of the jobs that start earlier, in tokens.
        ahead_tokens: u64,
    },
    /// Queued again: the attempt failed and may be retried.
    AttemptFailed,
    /// Started: a slot was free and no other job had precedence.
    FreeSlot,
    /// Started ahead of higher tiers, on the share of slots reserved for its tier.
    ReservedShare,
    /// Started in the slot of another job, which was preempted for it.
    AfterPreemption {
        /// Preempted job.
        preempted: JobId,
    },
    /// Preempted: a job of a higher tier found no free slot.
    HigherTier {
        /// Job of the higher tier.
        by: JobId,
    },
    /// Preempted: too many long jobs blocked a short job of the same tier.
    LongAnswer {
        /// Blocked short job.
        by: JobId,
    },
    /// Preempted: the slot was granted to another daemon.
    ShareWithdrawn,
    /// Refused: the client account is over one of its limits.
    AccountLimit,
    /// Refused: the queue is full and holds no job of a lower tier.
    QueueFull,
    /// Refused: shed from the full queue for an arrival of a higher tier.
    Shed {
        /// Job of the higher tier.
        by: JobId,
    },
    /// Refused: the estimated wait ends after the deadline.
    EstimatedWait {
        /// Estimated wait.
        wait_us: u64,
    },
    /// Refused: a part of its prompt crashes upstreams.
    Quarantined {
        /// Part.
        part: u64,
    },
    /// Refused: all upstreams of the model or service have asked for a pause that ends too late.
    UpstreamsPaused {
        /// Time until the first one returns.
        pause_us: u64,
    },
    /// Refused: no slot became free before the deadline.
    DeadlinePassed,
    /// Refused: the daemon stops before an answer is expected to end.
    Stopping {
        /// Time that the answer is expected to take.
        answer_us: u64,
    },
    /// Refused: the attempt failed in a way that must not be retried.
    NotRetryable,
    /// Refused: too many attempts failed.
    AttemptsExhausted,
    /// Refused: the model or service had too many retries of all jobs recently.
    RetryBudgetExhausted,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoFreeSlot { ahead_tokens } => {
                write!(f, "no free slot, {ahead_tokens} tokens go first")
            }
            Self::AttemptFailed => f.write_str("the attempt failed and may be repeated"),
            Self::FreeSlot => f.write_str("a slot was free"),
            Self::ReservedShare => f.write_str("share reserved for its tier"),
            Self::AfterPreemption { preempted } => write!(f, "in the slot of job {}", preempted.0),
            Self::HigherTier { by } => write!(f, "job {} of a higher tier needs the slot", by.0),
            Self::LongAnswer { by } => write!(f, "long answer, short job {} was blocked", by.0),
            Self::ShareWithdrawn => f.write_str("the slot was granted to another daemon"),
            Self::AccountLimit => f.write_str("limit of the client account"),
            Self::QueueFull => f.write_str("the queue is full"),
            Self::Shed { by } => write!(f, "shed for job {} of a higher tier", by.0),
            Self::EstimatedWait { wait_us } => {
                write!(f, "estimated wait of {} ms is too long", wait_us / 1_000)
            }
            Self::Quarantined { part } => {
                write!(f, "prompt part {part:016x} crashes upstreams")
            }
            Self::UpstreamsPaused { pause_us } => {
                write!(f, "all upstreams pause for {} ms or more", pause_us / 1_000)
            }
            Self::DeadlinePassed => f.write_str("no free slot before the deadline"),
            Self::Stopping { answer_us } => {
                write!(f, "this daemon stops within {} ms", answer_us / 1_000)
            }
            Self::NotRetryable => f.write_str("the attempt must not be repeated"),
            Self::AttemptsExhausted => f.write_str("too many attempts failed"),
            Self::RetryBudgetExhausted => f.write_str("the retry budget is used up"),
        }
    }
}
