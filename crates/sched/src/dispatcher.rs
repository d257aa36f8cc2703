use std::{collections::BTreeMap, sync::Arc};

use code::Code;
use route::{Ending, Load, Need, Place, Pool};
use settings::Config;

use crate::{Action, Job, JobId, Outcome};

/// Attempts of one job, the first included.
const ATTEMPTS_MAX: u32 = 3;

/// Jobs that wait in one tier.
const QUEUE_MAX: usize = 10_000;

/// Number of tiers.
const TIERS: usize = 3;

#[derive(Debug)]
struct Entry {
    job: Job,
    attempt: u32,
    upstream: Option<Arc<str>>,
    resume: bool,
}

/// Decides when and where each job runs.
#[derive(Debug, Default)]
pub struct Dispatcher {
    jobs: BTreeMap<JobId, Entry>,
    queues: [Vec<JobId>; TIERS],
    pool: Pool,
}

impl Dispatcher {
    /// Creates a dispatcher of a daemon at this place.
    #[must_use]
    pub fn new(place: Place) -> Self {
        Self {
            pool: Pool::new(place),
            ..Self::default()
        }
    }

    /// Takes up a configuration.
    pub fn configure(&mut self, now_us: u64, config: &Config, actions: &mut Vec<Action>) {
        self.pool.configure(now_us, config);
        self.dispatch(now_us, actions);
    }

    /// Sets how many jobs this daemon may run on an upstream; `None` lifts the limit.
    pub fn set_share(
        &mut self,
        now_us: u64,
        upstream: &str,
        slots: Option<u32>,
        actions: &mut Vec<Action>,
    ) {
        self.pool.set_share(upstream, slots);
        self.dispatch(now_us, actions);
    }

    /// Marks an upstream as leaving: it gets no new work.
    pub fn set_leaving(&mut self, upstream: &str) {
        self.pool.set_leaving(upstream);
    }

    /// Takes in a new job.
    pub fn submit(&mut self, now_us: u64, job: Job, actions: &mut Vec<Action>) {
        let id = job.id;
        let queue = &mut self.queues[usize::from(job.tier).min(TIERS - 1)];
        if queue.len() >= QUEUE_MAX {
            actions.push(Action::Refuse {
                id,
                code: Code::QueueFull,
                retry_after_ms: 1_000,
            });
            return;
        }
        queue.push(id);
        self.jobs.insert(
            id,
            Entry {
                job,
                attempt: 0,
                upstream: None,
                resume: false,
            },
        );
        self.dispatch(now_us, actions);
    }

    /// Notes the first token of a job.
    pub fn first_token(&mut self, _now_us: u64, _id: JobId, _actions: &mut Vec<Action>) {}

    /// Notes further tokens of a job.
    pub fn tokens(&mut self, _now_us: u64, _id: JobId, _count: u32, _actions: &mut Vec<Action>) {}

    /// Notes the end of a job's current attempt.
    pub fn finish(&mut self, now_us: u64, id: JobId, outcome: Outcome, actions: &mut Vec<Action>) {
        self.release(now_us, id, ending_of(outcome));
        let Some(entry) = self.jobs.get_mut(&id) else {
            return;
        };
        entry.resume |= matches!(outcome, Outcome::LostMidStream { .. });
        let code = match outcome {
            Outcome::Complete => None,
            Outcome::NotSent => Some(Code::ConnectFailed),
            Outcome::Rejected => Some(Code::NoUpstream),
            Outcome::LostBeforeAnswer => Some(Code::UpstreamLost),
            Outcome::LostMidStream { .. } => Some(Code::StreamBroken),
            Outcome::Failed => Some(Code::UpstreamError),
        };
        let repeatable = match outcome {
            Outcome::NotSent | Outcome::Rejected => true,
            Outcome::LostBeforeAnswer => entry.job.idempotent,
            Outcome::LostMidStream { resumable } => entry.job.idempotent && resumable,
            Outcome::Complete | Outcome::Failed => false,
        };
        if repeatable && entry.attempt < ATTEMPTS_MAX {
            self.queues[usize::from(entry.job.tier).min(TIERS - 1)].insert(0, id);
        } else {
            self.jobs.remove(&id);
            if let Some(code) = code {
                actions.push(Action::Refuse {
                    id,
                    code,
                    retry_after_ms: 1_000,
                });
            }
        }
        self.dispatch(now_us, actions);
    }

    /// Drops a job whose caller has left.
    pub fn cancel(&mut self, now_us: u64, id: JobId, actions: &mut Vec<Action>) {
        self.release(now_us, id, Ending::Cancelled);
        self.jobs.remove(&id);
        self.dispatch(now_us, actions);
    }

    /// Notes a load report.
    pub fn report(
        &mut self,
        _now_us: u64,
        _upstream: &str,
        _load: &Load,
        _actions: &mut Vec<Action>,
    ) {
    }

    /// Refuses jobs whose deadline has passed and starts what fits.
    pub fn tick(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        for queue in &mut self.queues {
            queue.retain(|&id| {
                let Some(entry) = self.jobs.get(&id) else {
                    return false;
                };
                if entry.job.deadline_us > now_us {
                    return true;
                }
                self.jobs.remove(&id);
                let code = Code::DeadlinePassed;
                actions.push(Action::Refuse {
                    id,
                    code,
                    retry_after_ms: 1_000,
                });
                false
            });
        }
        self.dispatch(now_us, actions);
    }

    /// Returns the number of waiting jobs of a tier.
    #[must_use]
    pub fn queued(&self, tier: u8) -> usize {
        self.queues[usize::from(tier).min(TIERS - 1)].len()
    }

    /// Returns the number of queued and running jobs.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.jobs.len()
    }

    fn release(&mut self, now_us: u64, id: JobId, ending: Ending) {
        let Some(entry) = self.jobs.get_mut(&id) else {
            return;
        };
        if let Some(upstream) = entry.upstream.take() {
            self.pool.end(now_us, &upstream, ending);
        }
    }

    fn dispatch(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        for queue in &mut self.queues {
            queue.retain(|&id| {
                let Some(entry) = self.jobs.get_mut(&id) else {
                    return false;
                };
                let need = Need {
                    target: &entry.job.target,
                    tier: entry.job.tier,
                    prompt_tokens: entry.job.prompt_tokens,
                    output_tokens: entry.job.max_tokens,
                    body_bytes: entry.job.body_bytes,
                    prefix_hash: entry.job.prefix_hash,
                    resume: entry.resume,
                    avoid: None,
                };
                let Some(pick) = self.pool.choose(now_us, &need) else {
                    return true;
                };
                entry.attempt += 1;
                entry.upstream = Some(pick.upstream.clone());
                actions.push(Action::Start {
                    id,
                    upstream: pick.upstream,
                    attempt: entry.attempt,
                    priority: i32::from(entry.job.tier),
                });
                false
            });
        }
    }
}

const fn ending_of(outcome: Outcome) -> Ending {
    match outcome {
        Outcome::Complete => Ending::Complete,
        Outcome::NotSent => Ending::ConnectFailed,
        Outcome::Rejected => Ending::Rejected,
        Outcome::LostBeforeAnswer | Outcome::LostMidStream { .. } => Ending::Lost,
        Outcome::Failed => Ending::Failed,
    }
}
