use std::sync::Arc;

use code::Code;
use sched::{JobId, Outcome};
use tokio::sync::mpsc::UnboundedReceiver;

use crate::{core::Decision, exposure::Exposure, shared::Shared};

/// Owner of a submitted job; dropping it cancels the job.
pub(crate) struct JobHandle {
    shared: Arc<Shared>,
    id: JobId,
    decisions: UnboundedReceiver<Decision>,
    exposure: Exposure,
    ended: bool,
}

impl JobHandle {
    pub(crate) const fn new(
        shared: Arc<Shared>,
        id: JobId,
        decisions: UnboundedReceiver<Decision>,
    ) -> Self {
        Self {
            shared,
            id,
            decisions,
            exposure: Exposure::NotRun,
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
        let closed = Decision::Refuse {
            code: Code::Draining,
            retry_after_ms: 1_000,
        };
        match decision.unwrap_or(closed) {
            Decision::Refuse {
                code,
                retry_after_ms,
            } => {
                self.ended = true;
                let code = self.exposure.truthful(code);
                Decision::Refuse {
                    code,
                    retry_after_ms,
                }
            }
            decision => decision,
        }
    }

    /// Notes that the current attempt was dropped on a decision to cancel it.
    pub(crate) fn cancelled(&mut self, answered: bool) {
        self.exposure.add_cancelled(answered);
    }

    /// Notes the first token.
    pub(crate) fn first_token(&self) {
        let id = self.id;
        self.shared.with_core(|now_us, core| {
            core.act(now_us, |dispatcher, actions| {
                dispatcher.first_token(now_us, id, actions);
            });
        });
    }

    /// Notes further tokens.
    pub(crate) fn tokens(&self, count: u32) {
        let id = self.id;
        self.shared.with_core(|now_us, core| {
            core.act(now_us, |dispatcher, actions| {
                dispatcher.tokens(now_us, id, count, actions);
            });
        });
    }

    /// Notes the end of the current attempt.
    pub(crate) fn finish(&mut self, outcome: Outcome) {
        let id = self.id;
        let complete = outcome == Outcome::Complete;
        self.exposure.add(outcome);
        self.ended |= complete;
        self.shared.with_core(|now_us, core| {
            core.act(now_us, |dispatcher, actions| {
                dispatcher.finish(now_us, id, outcome, actions);
            });
            if complete {
                core.forget(id);
            }
        });
    }
}

impl Drop for JobHandle {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let id = self.id;
        self.shared.with_core(|now_us, core| {
            core.act(now_us, |dispatcher, actions| {
                dispatcher.cancel(now_us, id, actions);
            });
            core.forget(id);
        });
    }
}
