//! Retry or refusal after a failed attempt.

use code::{Code, Run};
use route::{AttemptOutcome, Pool};

use crate::{Action, Dispatcher, JobId, Outcome, Reason, admission::RETRY_AFTER_MS};

impl Dispatcher {
    /// Queues a job again after a failed attempt at an upstream, holds it until the retry budget has
    /// room, or refuses it.
    pub(crate) fn retry_or_refuse(
        &mut self,
        now_us: u64,
        id: JobId,
        upstream: &str,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        let Some(entry) = self.jobs.get_mut(&id) else {
            return;
        };
        match outcome {
            Outcome::NotSent | Outcome::Withheld => entry.unsent += 1,
            Outcome::Rejected => entry.rejections += 1,
            _ => entry.failures += 1,
        }
        if matches!(outcome, Outcome::LostMidStream { .. } | Outcome::Failed) {
            entry.run = Run::Yes;
        } else if outcome == Outcome::LostBeforeAnswer {
            entry.record_possible_run();
        }
        let (job, policy) = (&entry.job, entry.job.policy);
        let lane = &mut self.topology.lanes[entry.item.lane];
        let resumable = lane.resumable;
        let is_lost_with_engine = is_lost_with_engine(&self.pool, now_us, upstream, outcome);
        let retryable = match outcome {
            Outcome::NotSent | Outcome::Withheld | Outcome::Rejected => true,
            Outcome::LostBeforeAnswer => job.idempotent,
            Outcome::LostMidStream { resumable } => job.idempotent && resumable,
            Outcome::Failed => job.idempotent && policy.retries_errors,
            Outcome::Complete => false,
        } && (entry.tokens == 0 || resumable);
        let is_unsent = matches!(outcome, Outcome::NotSent | Outcome::Withheld);
        let exhausted = entry.failures >= policy.attempts_max
            || outcome == Outcome::Rejected && entry.rejections >= policy.rejections_max
            || is_unsent && entry.unsent >= policy.unsent_max;
        let quarantined = self.quarantine.quarantined_part(&job.prompt_parts);
        let reason = if let Some(part) = quarantined {
            Reason::Quarantined { part }
        } else if !retryable {
            Reason::NotRetryable
        } else if exhausted {
            Reason::AttemptsExhausted
        } else if is_lost_with_engine {
            if lane.budget.try_retry_after_loss(now_us) {
                self.queue_retry(now_us, id, actions);
            } else {
                self.hold_retry(now_us, id, outcome);
            }
            return;
        } else if !is_unsent && !lane.budget.try_retry(now_us) {
            // Attempts of which nothing was sent put no load on upstreams and need no budget.
            Reason::RetryBudgetExhausted
        } else {
            self.queue_retry(now_us, id, actions);
            return;
        };
        let item = self.jobs.get(&id).map(|entry| &entry.item);
        let resume_delay_ms = item.and_then(|item| self.resume_delay_ms(now_us, item));
        let (code, delay_ms) = match reason {
            Reason::Quarantined { part } => {
                let delay_ms = self.quarantine.retry_after_ms(now_us, part);
                (Code::PromptQuarantined, delay_ms)
            }
            _ => (code_of(outcome), resume_delay_ms.unwrap_or(0)),
        };
        let retry_after_ms = delay_ms.max(RETRY_AFTER_MS);
        self.refuse(id, code, retry_after_ms, reason, actions);
    }
}

impl Dispatcher {
    /// Queues a job again, unless it would be refused there.
    pub(crate) fn queue_retry(&mut self, now_us: u64, id: JobId, actions: &mut Vec<Action>) {
        self.requeue(now_us, id);
        if !self.refuse_at_stop(now_us, id, actions) {
            self.refuse_while_paused(now_us, id, actions);
        }
    }
}

/// Returns whether an attempt was lost because its upstream was, not for a reason of its own.
///
/// A stream that has begun counts as such too: its caller can't repeat the request without losing
/// what it has received.
fn is_lost_with_engine(pool: &Pool, now_us: u64, upstream: &str, outcome: Outcome) -> bool {
    match outcome {
        Outcome::LostBeforeAnswer => pool.is_unreachable(now_us, upstream),
        Outcome::LostMidStream { .. } => true,
        _ => false,
    }
}

/// Returns the result code for a job that is not retried after `outcome`.
pub(crate) const fn code_of(outcome: Outcome) -> Code {
    match outcome {
        Outcome::NotSent => Code::ConnectFailed,
        Outcome::Withheld | Outcome::Rejected => Code::NoUpstream,
        Outcome::LostBeforeAnswer => Code::UpstreamLost,
        Outcome::LostMidStream { .. } => Code::StreamBroken,
        Outcome::Complete | Outcome::Failed => Code::UpstreamError,
    }
}

/// Returns the form in which the upstream pool records an outcome.
pub(crate) const fn attempt_outcome(outcome: Outcome) -> AttemptOutcome {
    match outcome {
        Outcome::Complete => AttemptOutcome::Complete,
        Outcome::Withheld => AttemptOutcome::Cancelled,
        Outcome::NotSent => AttemptOutcome::ConnectFailed,
        Outcome::Rejected => AttemptOutcome::Rejected,
        Outcome::LostBeforeAnswer | Outcome::LostMidStream { .. } => AttemptOutcome::Lost,
        Outcome::Failed => AttemptOutcome::Failed,
    }
}
