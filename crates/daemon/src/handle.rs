use std::sync::Arc;

use code::Code;
use sched::{JobId, Outcome};
use tokio::sync::mpsc::UnboundedReceiver;

use crate::{core::Decision, shared::Shared};

/// Handle of a submitted job; dropping it cancels the job.
pub(crate) struct JobHandle {
    shared: Arc<Shared>,
    id: JobId,
    decisions: UnboundedReceiver<Decision>,
    ended: bool,
}

impl JobHandle {
    /// Creates the handle of a job that receives its decisions from a channel.
    pub(crate) const fn new(
        shared: Arc<Shared>,
        id: JobId,
        decisions: UnboundedReceiver<Decision>,
    ) -> Self {
        Self {
            shared,
            id,
            decisions,
            ended: false,
        }
    }

    /// Returns the identifier of the job.
    pub(crate) const fn id(&self) -> JobId {
        self.id
    }

    /// Waits for the next decision.
    pub(crate) async fn decision(&mut self) -> Decision {
        let decision = self.decisions.recv().await;
        // The channel closes without a decision only because of a bug in this daemon; whether the
        // request was executed is unknown then.
        let closed = Decision::Refuse {
            code: Code::UpstreamLost,
            retry_after_ms: 1_000,
        };
        let decision = decision.unwrap_or(closed);
        self.ended |= matches!(decision, Decision::Refuse { .. });
        decision
    }

    /// Records the first token.
    pub(crate) fn first_token(&self) {
        let id = self.id;
        self.shared.with_core(|now_us, core| {
            core.dispatch(now_us, |dispatcher, actions| {
                dispatcher.record_first_token(now_us, id, actions);
            });
        });
    }

    /// Records an event of a stream after the first one.
    pub(crate) fn event(&self) {
        let id = self.id;
        self.shared
            .with_core(|now_us, core| core.dispatcher.record_event(now_us, id));
    }

    /// Records further tokens.
    pub(crate) fn tokens(&self, count: u32) {
        let id = self.id;
        self.shared.with_core(|now_us, core| {
            core.dispatch(now_us, |dispatcher, actions| {
                dispatcher.record_tokens(now_us, id, count, actions);
            });
        });
    }

    /// Records the end of the current attempt.
    pub(crate) fn finish(&mut self, outcome: Outcome) {
        let id = self.id;
        let complete = outcome == Outcome::Complete;
        let lost = matches!(
            outcome,
            Outcome::LostBeforeAnswer | Outcome::LostMidStream { .. }
        );
        self.ended |= complete;
        let (has_queued, has_complaints) = self.shared.with_core(|now_us, core| {
            core.sharing.ended(id);
            core.dispatch(now_us, |dispatcher, actions| {
                dispatcher.finish(now_us, id, outcome, actions);
            });
            if complete {
                core.remove_waiter(id);
            }
            let dispatcher = &core.dispatcher;
            (dispatcher.has_queued(), dispatcher.has_complaints())
        });
        if has_queued {
            self.shared.queued.notify_one();
        }
        if has_complaints {
            self.shared.upstream_evidence.notify_one();
        }
        if lost {
            self.shared.evidence.notify_one();
        }
    }
}

impl Drop for JobHandle {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let id = self.id;
        self.shared.with_core(|now_us, core| {
            core.sharing.ended(id);
            core.dispatch(now_us, |dispatcher, actions| {
                dispatcher.cancel(now_us, id, actions);
            });
            core.remove_waiter(id);
        });
    }
}
