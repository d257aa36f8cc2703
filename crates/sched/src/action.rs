//! Decisions of the dispatcher.

use std::{net::SocketAddr, sync::Arc};

use code::Code;

use crate::{JobId, Reason};

/// Decision that the caller of the dispatcher has to carry out.
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
        /// Priority that is passed to the engine; smaller values run earlier.
        priority: i32,
        /// Prompt tokens that the upstream is expected to prefill before the first output token.
        work_tokens: u32,
        /// Engine from which the upstream should fetch the cached parts of the prompt that it lacks.
        fetch_from: Option<SocketAddr>,
        /// Why the job starts now.
        reason: Reason,
    },
    /// Refuse the job; no attempt of it is running.
    Refuse {
        /// Job.
        id: JobId,
        /// Result code for the caller.
        code: Code,
        /// Time after which a retry is likely to succeed.
        retry_after_ms: u64,
        /// Why the job is refused, in more detail than the code.
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
        /// Why the attempt is cancelled.
        reason: Reason,
    },
    /// Report that the job waits in the queue; nothing has to be done.
    Queued {
        /// Job.
        id: JobId,
        /// Why the job waits.
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

    /// Returns the reason for the decision.
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
