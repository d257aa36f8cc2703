use std::{collections::BTreeMap, sync::Arc};

use code::Code;
use settings::{Config, Kind, State};

use crate::{Action, Job, JobId, Load, Outcome, Target};

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
}

#[derive(Debug)]
struct Slot {
    name: Arc<str>,
    kind: Kind,
    models: Vec<Arc<str>>,
    service: Arc<str>,
    slots: u32,
    outstanding: u32,
    live: bool,
}

/// Decides when and where each job runs.
#[derive(Debug, Default)]
pub struct Dispatcher {
    jobs: BTreeMap<JobId, Entry>,
    queues: [Vec<JobId>; TIERS],
    slots: Vec<Slot>,
}

impl Dispatcher {
    /// Takes up a configuration.
    pub fn configure(&mut self, now_us: u64, config: &Config, actions: &mut Vec<Action>) {
        let old = std::mem::take(&mut self.slots);
        for upstream in &config.upstreams {
            let outstanding = old
                .binary_search_by(|slot| slot.name.as_ref().cmp(upstream.name.as_str()))
                .map_or(0, |index| old[index].outstanding);
            self.slots.push(Slot {
                name: upstream.name.as_str().into(),
                kind: upstream.kind,
                models: upstream
                    .models
                    .iter()
                    .map(|model| model.as_str().into())
                    .collect(),
                service: upstream.service.as_str().into(),
                slots: upstream.slots,
                outstanding,
                live: upstream.state == State::Live,
            });
        }
        self.dispatch(now_us, actions);
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
        self.release(id);
        let Some(entry) = self.jobs.get(&id) else {
            return;
        };
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
        self.release(id);
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

    fn release(&mut self, id: JobId) {
        let Some(entry) = self.jobs.get_mut(&id) else {
            return;
        };
        let Some(name) = entry.upstream.take() else {
            return;
        };
        if let Ok(index) = self.slots.binary_search_by(|slot| slot.name.cmp(&name)) {
            self.slots[index].outstanding = self.slots[index].outstanding.saturating_sub(1);
        }
    }

    fn dispatch(&mut self, _now_us: u64, actions: &mut Vec<Action>) {
        for queue in &mut self.queues {
            queue.retain(|&id| {
                let Some(entry) = self.jobs.get_mut(&id) else {
                    return false;
                };
                let Some(slot) = choose(&mut self.slots, &entry.job.target) else {
                    return true;
                };
                slot.outstanding += 1;
                entry.attempt += 1;
                entry.upstream = Some(slot.name.clone());
                actions.push(Action::Start {
                    id,
                    upstream: slot.name.clone(),
                    attempt: entry.attempt,
                    priority: i32::from(entry.job.tier),
                });
                false
            });
        }
    }
}

fn choose<'a>(slots: &'a mut [Slot], target: &Target) -> Option<&'a mut Slot> {
    let fits = |slot: &Slot| match target {
        Target::Model(model) => slot.kind == Kind::Model && slot.models.contains(model),
        Target::Service(service) => slot.kind == Kind::Service && slot.service == *service,
    };
    slots
        .iter_mut()
        .filter(|slot| slot.live && slot.outstanding < slot.slots && fits(slot))
        .min_by_key(|slot| slot.outstanding)
}
