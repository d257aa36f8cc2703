//! Baseline schedulers that the dispatcher is compared with.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use code::Code;
use sched::{Action, Job, JobId, LoadAnnouncement, LoadReport, Outcome, PeerLoads, Reason};
use settings::Config;

use crate::scheduler::Scheduler;

/// Maximum number of attempts per job, the same as the dispatcher's.
const ATTEMPTS_MAX: u32 = 3;

/// First-in, first-out scheduler without tiers, deadlines, locality or measurements of upstreams.
#[derive(Debug)]
pub(crate) struct Baseline {
    /// Selects the upstream with the fewest outstanding requests; otherwise round robin.
    least_outstanding: bool,
    upstreams: Vec<BaselineUpstream>,
    next: usize,
    queue: VecDeque<JobId>,
    jobs: BTreeMap<JobId, JobState>,
}

/// Upstream as a baseline scheduler sees it.
#[derive(Debug)]
struct BaselineUpstream {
    name: Arc<str>,
    slots: u32,
    /// Requests that this daemon has in flight there.
    in_flight: u32,
    /// Running and waiting requests in its last load report.
    reported_requests: u32,
    /// Requests that this daemon has sent since that report.
    sent_since_report: u32,
}

/// Attempts of one job.
#[derive(Debug)]
struct JobState {
    attempt: u32,
    upstream: Option<usize>,
}

impl Baseline {
    /// Creates a baseline scheduler.
    pub(crate) const fn new(least_outstanding: bool) -> Self {
        Self {
            least_outstanding,
            upstreams: Vec::new(),
            next: 0,
            queue: VecDeque::new(),
            jobs: BTreeMap::new(),
        }
    }

    fn choose_upstream(&mut self) -> Option<usize> {
        let count = self.upstreams.len();
        let next = self.next;
        let order = (0..count).map(|step| (next + step) % count);
        let mut free =
            order.filter(|&index| self.upstreams[index].in_flight < self.upstreams[index].slots);
        let chosen = if self.least_outstanding {
            free.min_by_key(|&index| {
                self.upstreams[index].reported_requests + self.upstreams[index].sent_since_report
            })
        } else {
            free.next()
        }?;
        self.next = chosen + 1;
        Some(chosen)
    }

    fn release_slot(&mut self, id: JobId) {
        if let Some(index) = self
            .jobs
            .get_mut(&id)
            .and_then(|job_state| job_state.upstream.take())
        {
            self.upstreams[index].in_flight -= 1;
        }
    }

    fn dispatch(&mut self, actions: &mut Vec<Action>) {
        while let Some(&id) = self.queue.front() {
            if !self.jobs.contains_key(&id) {
                self.queue.pop_front();
                continue;
            }
            let Some(index) = self.choose_upstream() else {
                return;
            };
            self.queue.pop_front();
            let upstream_state = &mut self.upstreams[index];
            upstream_state.in_flight += 1;
            upstream_state.sent_since_report += 1;
            if let Some(job_state) = self.jobs.get_mut(&id) {
                job_state.attempt += 1;
                job_state.upstream = Some(index);
                actions.push(Action::Start {
                    id,
                    upstream: upstream_state.name.clone(),
                    attempt: job_state.attempt,
                    priority: 0,
                    work_tokens: 0,
                    fetch_from: None,
                    reason: Reason::FreeSlot,
                });
            }
        }
    }
}

impl Scheduler for Baseline {
    fn configure(&mut self, _now_us: u64, config: &Config, _actions: &mut Vec<Action>) {
        let upstreams = config.upstreams.iter().map(|upstream| BaselineUpstream {
            name: upstream.name.as_str().into(),
            slots: upstream.slots,
            in_flight: 0,
            reported_requests: 0,
            sent_since_report: 0,
        });
        self.upstreams = upstreams.collect();
    }

    fn set_live_daemons(&mut self, _: u64, _: u32) {}

    fn set_share(&mut self, _: u64, _: &str, _: u32, _: &mut Vec<Action>) {}

    fn submit(&mut self, _now_us: u64, job: Job, actions: &mut Vec<Action>) {
        let job_state = JobState {
            attempt: 0,
            upstream: None,
        };
        self.jobs.insert(job.id, job_state);
        self.queue.push_back(job.id);
        self.dispatch(actions);
    }

    fn record_first_token(&mut self, _: u64, _: JobId, _: &mut Vec<Action>) {}

    fn record_tokens(&mut self, _: u64, _: JobId, _: u32, _: &mut Vec<Action>) {}

    fn finish(&mut self, _now_us: u64, id: JobId, outcome: Outcome, actions: &mut Vec<Action>) {
        self.release_slot(id);
        if let Some(job_state) = self.jobs.get(&id) {
            if outcome != Outcome::Complete && job_state.attempt < ATTEMPTS_MAX {
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
        self.release_slot(id);
        self.jobs.remove(&id);
        self.dispatch(actions);
    }

    fn report_load(&mut self, _: u64, upstream: &Arc<str>, load: &LoadReport, _: &mut Vec<Action>) {
        let found = self
            .upstreams
            .binary_search_by(|upstream_state| upstream_state.name.cmp(upstream));
        if let Ok(index) = found {
            self.upstreams[index].reported_requests = load.running + load.waiting;
            self.upstreams[index].sent_since_report = 0;
        }
    }

    fn tick(&mut self, _now_us: u64, _actions: &mut Vec<Action>) {}

    fn queued(&self, _tier: u8) -> usize {
        self.queue.len()
    }

    fn record_event(&mut self, _: u64, _: JobId) {}

    fn load_announcement(&self, _: u64) -> LoadAnnouncement {
        LoadAnnouncement::default()
    }

    fn apply_peer_loads(&mut self, _: u64, _: &PeerLoads) {}
}
