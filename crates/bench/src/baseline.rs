use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use code::Code;
use sched::{Action, EngineLoad, Job, JobId, LoadReport, Outcome, Reason};
use settings::Config;

use crate::scheduler::Scheduler;

/// Attempts of one job, as many as the dispatcher makes.
const ATTEMPTS_MAX: u32 = 3;

/// First in, first out, without tiers, deadlines, localities or observations.
#[derive(Debug)]
pub(crate) struct Baseline {
    /// Whether the upstream with the least outstanding requests is taken, else the next one.
    by_load: bool,
    upstreams: Vec<Member>,
    next: usize,
    queue: VecDeque<JobId>,
    jobs: BTreeMap<JobId, Entry>,
}

#[derive(Debug)]
struct Member {
    name: Arc<str>,
    slots: u32,
    own: u32,
    /// Requests at the upstream by its last report.
    reported: u32,
    /// Requests sent since then.
    sent: u32,
}

#[derive(Debug)]
struct Entry {
    attempt: u32,
    upstream: Option<usize>,
}

impl Baseline {
    /// Creates a baseline.
    pub(crate) const fn new(by_load: bool) -> Self {
        Self {
            by_load,
            upstreams: Vec::new(),
            next: 0,
            queue: VecDeque::new(),
            jobs: BTreeMap::new(),
        }
    }

    fn choose(&mut self) -> Option<usize> {
        let count = self.upstreams.len();
        let next = self.next;
        let order = (0..count).map(|step| (next + step) % count);
        let mut free =
            order.filter(|&index| self.upstreams[index].own < self.upstreams[index].slots);
        let chosen = if self.by_load {
            free.min_by_key(|&index| self.upstreams[index].reported + self.upstreams[index].sent)
        } else {
            free.next()
        }?;
        self.next = chosen + 1;
        Some(chosen)
    }

    fn release(&mut self, id: JobId) {
        if let Some(index) = self
            .jobs
            .get_mut(&id)
            .and_then(|entry| entry.upstream.take())
        {
            self.upstreams[index].own -= 1;
        }
    }

    fn dispatch(&mut self, actions: &mut Vec<Action>) {
        while let Some(&id) = self.queue.front() {
            if !self.jobs.contains_key(&id) {
                self.queue.pop_front();
                continue;
            }
            let Some(index) = self.choose() else {
                return;
            };
            self.queue.pop_front();
            let member = &mut self.upstreams[index];
            member.own += 1;
            member.sent += 1;
            if let Some(entry) = self.jobs.get_mut(&id) {
                entry.attempt += 1;
                entry.upstream = Some(index);
                actions.push(Action::Start {
                    id,
                    upstream: member.name.clone(),
                    attempt: entry.attempt,
                    priority: 0,
                    work_tokens: 0,
                    reason: Reason::FreeSlot,
                });
            }
        }
    }
}

impl Scheduler for Baseline {
    fn configure(&mut self, _now_us: u64, config: &Config, _actions: &mut Vec<Action>) {
        let upstreams = config.upstreams.iter().map(|upstream| Member {
            name: upstream.name.as_str().into(),
            slots: upstream.slots,
            own: 0,
            reported: 0,
            sent: 0,
        });
        self.upstreams = upstreams.collect();
    }

    fn set_fleet(&mut self, _: u64, _: u32) {}

    fn set_share(&mut self, _: u64, _: &str, _: u32, _: &mut Vec<Action>) {}

    fn submit(&mut self, _now_us: u64, job: Job, actions: &mut Vec<Action>) {
        let entry = Entry {
            attempt: 0,
            upstream: None,
        };
        self.jobs.insert(job.id, entry);
        self.queue.push_back(job.id);
        self.dispatch(actions);
    }

    fn first_token(&mut self, _: u64, _: JobId, _: &mut Vec<Action>) {}

    fn tokens(&mut self, _: u64, _: JobId, _: u32, _: &mut Vec<Action>) {}

    fn finish(&mut self, _now_us: u64, id: JobId, outcome: Outcome, actions: &mut Vec<Action>) {
        self.release(id);
        if let Some(entry) = self.jobs.get(&id) {
            if outcome != Outcome::Complete && entry.attempt < ATTEMPTS_MAX {
                self.queue.push_front(id);
            } else {
                self.jobs.remove(&id);
                if outcome != Outcome::Complete {
                    actions.push(Action::Refuse {
                        id,
                        code: Code::UpstreamLost,
                        retry_after_ms: 1_000,
                        reason: Reason::AttemptsExhausted,
                    });
                }
            }
        }
        self.dispatch(actions);
    }

    fn cancel(&mut self, _now_us: u64, id: JobId, actions: &mut Vec<Action>) {
        self.release(id);
        self.jobs.remove(&id);
        self.dispatch(actions);
    }

    fn report(&mut self, _: u64, upstream: &Arc<str>, load: &LoadReport, _: &mut Vec<Action>) {
        let found = self
            .upstreams
            .binary_search_by(|member| member.name.cmp(upstream));
        if let Ok(index) = found {
            self.upstreams[index].reported = load.running + load.waiting;
            self.upstreams[index].sent = 0;
        }
    }

    fn tick(&mut self, _now_us: u64, _actions: &mut Vec<Action>) {}

    fn queued(&self, _tier: u8) -> usize {
        self.queue.len()
    }

    fn engine_loads(&self) -> Vec<(Arc<str>, EngineLoad)> {
        Vec::new()
    }

    fn set_foreign_load(&mut self, _: u64, _: &str, _: EngineLoad) {}
}
