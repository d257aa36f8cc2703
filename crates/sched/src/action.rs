use std::sync::Arc;

use code::Code;

use crate::{JobId, Reason};

/// What the caller of the dispatcher has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send the job to an upstream.
    Start {
        /// Job.
        id: JobId,
        /// Name of the upstream.
        upstream: Arc<str>,
        /// Number of the attempt, counted from 1.
        attempt: u32,
        /// Priority for the engine, smaller runs earlier.
        priority: i32,
        /// Prompt tokens that the upstream is expected to read before the first token of the answer.
        work_tokens: u32,
        /// Why now and why there.
        reason: Reason,
    },
    /// Refuse the job; no attempt of it is running.
    Refuse {
        /// Job.
        id: JobId,
        /// Why.
        code: Code,
        /// When a retry is likely to succeed.
        retry_after_ms: u64,
        /// Why, in more detail than the code.
        reason: Reason,
    },
    /// Cancel a running attempt.
    Cancel {
        /// Job.
        id: JobId,
        /// Name of the upstream.
        upstream: Arc<str>,
        /// Number of the attempt.
        attempt: u32,
        /// Why.
        reason: Reason,
    },
    /// Nothing has to be done: the job waits in the queue.
    Queued {
        /// Job.
        id: JobId,
        /// Why.
        reason: Reason,
    },
}

impl Action {
    /// Returns the job that the action concerns.
    #[must_use]
    pub const fn id(&self) -> JobId {
        match self {
            Self::Start { id, .. }
            | Self::Refuse { id, .. }
            | Self::Cancel { id, .. }
            | Self::Queued { id, .. } => *id,
        }
    }

    /// Returns why the dispatcher decided so.
    #[must_use]
    pub const fn reason(&self) -> Reason {
        match self {
            Self::Start { reason, .. }
            | Self::Refuse { reason, .. }
            | Self::Cancel { reason, .. }
            | Self::Queued { reason, .. } => *reason,
        }
    }
}
