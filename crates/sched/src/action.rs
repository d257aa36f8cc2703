use std::sync::Arc;

use code::Code;

use crate::JobId;

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
    },
    /// Refuse the job; no attempt of it is running.
    Refuse {
        /// Job.
        id: JobId,
        /// Why.
        code: Code,
        /// When a retry is likely to succeed.
        retry_after_ms: u64,
    },
    /// Cancel a running attempt.
    Cancel {
        /// Job.
        id: JobId,
        /// Name of the upstream.
        upstream: Arc<str>,
        /// Number of the attempt.
        attempt: u32,
    },
}

impl Action {
    /// Returns the job that the action concerns.
    #[must_use]
    pub const fn id(&self) -> JobId {
        match self {
            Self::Start { id, .. } | Self::Refuse { id, .. } | Self::Cancel { id, .. } => *id,
        }
    }
}
