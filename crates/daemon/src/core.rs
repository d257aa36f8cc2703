//! Dispatcher together with the channels to the request tasks, guarded by one lock.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use audit::{Journal, Step};
use code::Code;
use sched::{Action, Dispatcher, JobId, Locality};
use settings::Host;
use tokio::sync::mpsc::UnboundedSender;
use xxhash_rust::xxh3::xxh3_64;

use crate::sharing::SlotSharing;

/// Decision of the dispatcher for the task that handles one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Decision {
    /// Send the request to this upstream.
    Start {
        upstream: Arc<str>,
        attempt: u32,
        /// Time of the decision; the request may be sent much later.
        chosen_us: u64,
        priority: i32,
        /// Prompt tokens that the upstream is expected to process before the first output token.
        work_tokens: u32,
        /// Engine from which the upstream should fetch the cached parts of the prompt that it lacks.
        fetch_from: Option<SocketAddr>,
    },
    /// Respond with this code; the job has ended.
    Refuse { code: Code, retry_after_ms: u64 },
    /// Drop the current attempt; another decision follows.
    Cancel,
}

/// Task that waits for the decisions about one job.
#[derive(Debug)]
struct Waiter {
    sender: UnboundedSender<Decision>,
    tier: u8,
}

/// Requests whose decisions `/admin/explain` can return: some minutes of peak load, about 20 MB.
const JOURNAL_REQUESTS: usize = 20_000;

/// Dispatcher with the channels to the tasks that wait for its decisions.
///
/// One lock guards both: exact priority order requires a total order of events, and one event takes
/// only a few microseconds.
#[derive(Debug)]
pub(crate) struct Core {
    pub(crate) dispatcher: Dispatcher,
    pub(crate) sharing: SlotSharing,
    waiters: BTreeMap<JobId, Waiter>,
    actions: Vec<Action>,
    pub(crate) journal: Journal,
}

impl Core {
    /// Creates the core of a host.
    pub(crate) fn new(host: &Host) -> Self {
        let locality = Locality::new(&host.region, &host.zone);
        let dispatcher = Dispatcher::new(locality)
            .with_name(&host.name)
            .with_seed(xxh3_64(host.name.as_bytes()))
            .with_link_budget(host.cross_region_bytes_per_s);
        Self {
            dispatcher,
            sharing: SlotSharing::new(&host.name, &host.region, rand::random()),
            waiters: BTreeMap::new(),
            actions: Vec::new(),
            journal: Journal::new(JOURNAL_REQUESTS),
        }
    }

    /// Registers the channel of a job.
    pub(crate) fn add_waiter(&mut self, id: JobId, tier: u8, sender: UnboundedSender<Decision>) {
        self.waiters.insert(id, Waiter { sender, tier });
    }

    /// Removes the channel of a job that has ended.
    pub(crate) fn remove_waiter(&mut self, id: JobId) {
        self.waiters.remove(&id);
    }

    /// Passes changed shares of upstream slots to the dispatcher.
    pub(crate) fn apply_shares(&mut self, now_us: u64) {
        for (upstream, slots) in self.sharing.shares(now_us) {
            self.dispatch(now_us, |dispatcher, actions| {
                dispatcher.set_share(now_us, &upstream, Some(slots), actions);
            });
        }
    }

    /// Passes one event to the dispatcher, records its decisions in the journal, and sends them to
    /// the waiting tasks.
    pub(crate) fn dispatch<F>(&mut self, now_us: u64, event: F)
    where
        F: FnOnce(&mut Dispatcher, &mut Vec<Action>),
    {
        event(&mut self.dispatcher, &mut self.actions);
        for action in self.actions.drain(..) {
            let id = action.id();
            if let (Action::Start { upstream, .. }, Some(waiter)) = (&action, self.waiters.get(&id))
            {
                self.sharing.started(id, upstream, waiter.tier);
            } else if matches!(action, Action::Cancel { .. }) {
                self.sharing.ended(id);
            }
            let (decision, step) = translate(now_us, action);
            self.journal.record(now_us, id.0, step);
            let Some(decision) = decision else { continue };
            let has_ended = matches!(decision, Decision::Refuse { .. });
            // The channel is closed if the request was dropped; its handle cancels the job then.
            if let Some(waiter) = self.waiters.get(&id) {
                let _ = waiter.sender.send(decision);
            }
            if has_ended {
                self.waiters.remove(&id);
            }
        }
    }
}

/// Converts an action of the dispatcher to a decision for the request's task, if the task needs
/// one, and a step for the journal.
fn translate(now_us: u64, action: Action) -> (Option<Decision>, Step) {
    let reason = action.reason().to_string();
    match action {
        Action::Start {
            upstream,
            attempt,
            priority,
            work_tokens,
            fetch_from,
            ..
        } => {
            let step = Step::Started {
                upstream: upstream.clone(),
                attempt,
                reason,
            };
            let decision = Decision::Start {
                upstream,
                attempt,
                chosen_us: now_us,
                priority,
                work_tokens,
                fetch_from,
            };
            (Some(decision), step)
        }
        Action::Refuse {
            code,
            retry_after_ms,
            ..
        } => {
            let decision = Decision::Refuse {
                code,
                retry_after_ms,
            };
            (Some(decision), Step::Refused { code, reason })
        }
        Action::Cancel { upstream, .. } => {
            (Some(Decision::Cancel), Step::Preempted { upstream, reason })
        }
        Action::Queued { .. } => (None, Step::Queued { reason }),
    }
}
