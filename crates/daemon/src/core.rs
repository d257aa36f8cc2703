use std::{collections::BTreeMap, sync::Arc};

use code::Code;
use sched::{Action, Dispatcher, JobId, Place};
use tokio::sync::mpsc::UnboundedSender;

/// Decision for the task that handles one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Decision {
    /// Send the request to this upstream.
    Start {
        upstream: Arc<str>,
        attempt: u32,
        priority: i32,
    },
    /// Answer with this code; the job has ended.
    Refuse { code: Code, retry_after_ms: u64 },
    /// Drop the current attempt; another decision follows.
    Cancel,
}

/// Dispatcher with the channels to the tasks that wait for its decisions.
///
/// One lock guards both: a total order of events is what makes the priority order exact, and one
/// event takes a few microseconds.
#[derive(Debug, Default)]
pub(crate) struct Core {
    pub(crate) dispatcher: Dispatcher,
    waiters: BTreeMap<JobId, UnboundedSender<Decision>>,
    actions: Vec<Action>,
}

impl Core {
    pub(crate) fn new(place: Place) -> Self {
        Self {
            dispatcher: Dispatcher::new(place),
            ..Self::default()
        }
    }

    /// Registers the channel of a job.
    pub(crate) fn register(&mut self, id: JobId, sender: UnboundedSender<Decision>) {
        self.waiters.insert(id, sender);
    }

    /// Removes the channel of a job.
    pub(crate) fn forget(&mut self, id: JobId) {
        self.waiters.remove(&id);
    }

    /// Passes one event to the dispatcher and its decisions to the waiting tasks.
    pub(crate) fn act<F>(&mut self, event: F)
    where
        F: FnOnce(&mut Dispatcher, &mut Vec<Action>),
    {
        event(&mut self.dispatcher, &mut self.actions);
        for action in self.actions.drain(..) {
            let id = action.id();
            let decision = match action {
                Action::Start {
                    upstream,
                    attempt,
                    priority,
                    ..
                } => Decision::Start {
                    upstream,
                    attempt,
                    priority,
                },
                Action::Refuse {
                    code,
                    retry_after_ms,
                    ..
                } => Decision::Refuse {
                    code,
                    retry_after_ms,
                },
                Action::Cancel { .. } => Decision::Cancel,
                Action::Queued { .. } => continue,
            };
            let ended = matches!(decision, Decision::Refuse { .. });
            // A closed channel belongs to a request that was dropped; its handle cancels the job.
            if let Some(sender) = self.waiters.get(&id) {
                let _ = sender.send(decision);
            }
            if ended {
                self.waiters.remove(&id);
            }
        }
    }
}
