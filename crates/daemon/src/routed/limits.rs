//! Limits on the time that a call may take.

use code::Code;
use sched::JobId;
use tokio::time::{Instant, timeout_at};

use super::serve::DRAINING_RETRY_AFTER_MS;
use crate::{refusal::Refusal, shared::Shared};

/// Why a call has no answer.
#[derive(Debug, Clone, Copy)]
pub(super) enum Unanswered {
    /// Its deadline passed.
    DeadlinePassed,
    /// A graceful stop of this daemon used up its time; the code tells whether the call may have
    /// run.
    Stopped(Code),
}

impl Unanswered {
    /// Returns the refusal for the caller.
    pub(super) fn refusal(self, maybe_executed: bool) -> Refusal {
        match self {
            Self::DeadlinePassed if maybe_executed => Code::UpstreamTimeout.into(),
            Self::DeadlinePassed => Code::DeadlinePassed.into(),
            Self::Stopped(code @ Code::Draining) => {
                Refusal::new(code).with_retry_after_ms(DRAINING_RETRY_AFTER_MS)
            }
            Self::Stopped(code) => code.into(),
        }
    }
}

/// Waits for an answer until its deadline, or until a graceful stop uses up its time.
pub(super) async fn within_limits<F>(
    shared: &Shared,
    id: JobId,
    deadline: Instant,
    answer: F,
) -> Result<F::Output, Unanswered>
where
    F: Future,
{
    match shared
        .until_stop_expires(id, timeout_at(deadline, answer))
        .await
    {
        Ok(Ok(answer)) => Ok(answer),
        Ok(Err(_)) => Err(Unanswered::DeadlinePassed),
        Err(code) => Err(Unanswered::Stopped(code)),
    }
}
