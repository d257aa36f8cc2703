//! Reference model that checks each action of the dispatcher, for the state machine tests.

use std::collections::{BTreeMap, BTreeSet};

use code::{Code, Run};
use route::{LatencyAims, RouteRequest};
use settings::{Class, Config, Honours, Upstream, UpstreamKind, UpstreamLifecycle};

use crate::{Action, Dispatcher, Job, JobId, JobPolicy, Outcome, Reason, Target};

/// Bound on waiting jobs, small so that it is reached.
pub(crate) const QUEUE_MAX: usize = 6;

/// Names of the upstreams with the models that each serves; `both` joins the two models into one
/// group, `parts` is a plain service.
pub(crate) const UPSTREAMS: [(&str, &[&str]); 4] = [
    ("both", &["coil", "faucet"]),
    ("coil", &["coil"]),
    ("faucet", &["faucet"]),
    ("parts", &[]),
];

/// State of a job in the model.
#[derive(Debug)]
pub(crate) struct Tracked {
    pub(crate) job: Job,
    pub(crate) tokens: u32,
    /// Upstream and number of the running attempt.
    pub(crate) running: Option<(String, u32)>,
    /// Number of the last attempt.
    attempt: u32,
    /// Whether an attempt may have run.
    may_have_run: bool,
    /// Whether it holds a slot of the share reserved for its tier.
    reserved: bool,
    /// Whether an attempt ended after the deadline, so that no other may start.
    late: bool,
}

/// Dispatcher under test together with the model.
#[derive(Debug)]
pub(crate) struct Oracle {
    pub(crate) dispatcher: Dispatcher,
    pub(crate) now_us: u64,
    pub(crate) jobs: BTreeMap<JobId, Tracked>,
    pub(crate) ended: BTreeSet<JobId>,
    slots: u32,
    shares: BTreeMap<String, u32>,
    next_id: u64,
}

impl Oracle {
    pub(crate) fn new(slots: u32) -> Self {
        let dispatcher = Dispatcher::default().with_queue_max(QUEUE_MAX);
        let mut oracle = Self {
            dispatcher,
            now_us: 0,
            jobs: BTreeMap::new(),
            ended: BTreeSet::new(),
            slots,
            shares: BTreeMap::new(),
            next_id: 1,
        };
        oracle.configure(slots);
        oracle
    }

    pub(crate) fn configure(&mut self, slots: u32) {
        self.slots = slots;
        let config = config(slots);
        self.apply(|dispatcher, now_us, actions| dispatcher.configure(now_us, &config, actions));
    }

    pub(crate) fn set_share(&mut self, upstream: usize, share: u32) {
        let (name, _) = UPSTREAMS[upstream % UPSTREAMS.len()];
        self.shares.insert(name.to_owned(), share);
        self.apply(|dispatcher, now_us, actions| {
            dispatcher.set_share(now_us, name, Some(share), actions);
        });
    }

    pub(crate) fn submit(&mut self, mut job: Job) {
        job.id = JobId(self.next_id);
        job.deadline_us += self.now_us;
        self.next_id += 1;
        let tracked = Tracked {
            job: job.clone(),
            tokens: 0,
            running: None,
            attempt: 0,
            may_have_run: false,
            late: false,
            reserved: false,
        };
        self.jobs.insert(job.id, tracked);
        self.apply(|dispatcher, now_us, actions| dispatcher.submit(now_us, job, actions));
    }

    pub(crate) fn tokens(&mut self, id: JobId, count: u32) {
        let tracked = self.jobs.get_mut(&id).unwrap();
        let first = tracked.tokens == 0;
        tracked.tokens += count;
        tracked.may_have_run = true;
        self.apply(|dispatcher, now_us, actions| {
            if first {
                dispatcher.record_first_token(now_us, id, actions);
            }
            dispatcher.record_tokens(now_us, id, count - u32::from(first), actions);
        });
    }

    pub(crate) fn finish(&mut self, id: JobId, outcome: Outcome) {
        let now_us = self.now_us;
        let tracked = self.jobs.get_mut(&id).unwrap();
        tracked.late |= now_us > tracked.job.deadline_us;
        if tracked.running.take().is_some() || outcome == Outcome::Complete {
            tracked.may_have_run |= !matches!(
                outcome,
                Outcome::NotSent | Outcome::Withheld | Outcome::Rejected
            );
            if outcome == Outcome::Complete {
                self.mark_ended(id);
            }
        }
        self.apply(|dispatcher, now_us, actions| dispatcher.finish(now_us, id, outcome, actions));
    }

    pub(crate) fn cancel(&mut self, id: JobId) {
        self.mark_ended(id);
        self.apply(|dispatcher, now_us, actions| dispatcher.cancel(now_us, id, actions));
    }

    /// Advances the time in ticks of 10 ms.
    pub(crate) fn advance(&mut self, ms: u64) {
        for _ in 0..ms.div_ceil(10) {
            self.now_us += 10_000;
            self.apply(Dispatcher::tick_at);
        }
    }

    /// Returns one of the running or queued jobs, chosen by `index`.
    pub(crate) fn pick(&self, index: usize, running: bool) -> Option<JobId> {
        let matching = |tracked: &&Tracked| tracked.running.is_some() == running;
        let ids: Vec<JobId> = self
            .jobs
            .values()
            .filter(matching)
            .map(|t| t.job.id)
            .collect();
        (!ids.is_empty()).then(|| ids[index % ids.len()])
    }

    /// Passes one event to the dispatcher, checks the actions and the state; returns the actions.
    pub(crate) fn apply<F>(&mut self, event: F) -> Vec<Action>
    where
        F: FnOnce(&mut Dispatcher, u64, &mut Vec<Action>),
    {
        let mut actions = Vec::new();
        event(&mut self.dispatcher, self.now_us, &mut actions);
        for action in &actions {
            self.check(action);
        }
        self.check_counts();
        self.check_idle();
        actions
    }

    /// Checks one action against the model and updates the model.
    fn check(&mut self, action: &Action) {
        let id = action.id();
        assert!(
            !self.ended.contains(&id),
            "complete: {action:?} after the end"
        );
        match action {
            Action::Start {
                upstream,
                attempt,
                reason,
                ..
            } => {
                let running = self.running_on(upstream);
                let tracked = &self.jobs[&id];
                assert_eq!(tracked.running, None, "complete: two attempts of {id:?}");
                assert_eq!(*attempt, tracked.attempt + 1, "complete: attempt of {id:?}");
                let may_start = tracked.job.idempotent || !tracked.may_have_run;
                assert!(
                    may_start,
                    "complete: {id:?} may have run and allows no retry"
                );
                assert!(
                    serves(upstream, &tracked.job.target),
                    "complete: {action:?}"
                );
                assert!(
                    running < self.capacity(upstream),
                    "complete: no slot for {action:?}"
                );
                if let Reason::AfterPreemption { preempted } = reason {
                    let lower = self.jobs[preempted].job.tier;
                    assert!(
                        tracked.job.tier <= lower,
                        "tier: {action:?} over tier {lower}"
                    );
                }
                let tracked = self.jobs.get_mut(&id).unwrap();
                tracked.attempt = *attempt;
                tracked.reserved = *reason == Reason::ReservedShare;
                tracked.running = Some((upstream.to_string(), *attempt));
            }
            Action::Cancel {
                upstream,
                attempt,
                reason,
                ..
            } => {
                let tier = match reason {
                    Reason::HigherTier { by } => self.jobs[by].job.tier + 1,
                    Reason::LongAnswer { by } => self.jobs[by].job.tier,
                    // Only the lowest tier is preempted for other daemons, if above the share.
                    Reason::ShareWithdrawn => {
                        assert!(
                            self.running_on(upstream) > self.capacity(upstream),
                            "tier: {action:?}"
                        );
                        2
                    }
                    reason => panic!("tier: cancelled with {reason:?}"),
                };
                let tracked = self.jobs.get_mut(&id).unwrap();
                assert!(tracked.job.tier >= tier, "tier: {action:?}");
                assert!(
                    tracked.job.idempotent,
                    "complete: {action:?} of a job that can't be retried"
                );
                let running = Some((upstream.to_string(), *attempt));
                assert_eq!(tracked.running.take(), running, "complete: {action:?}");
                tracked.may_have_run = true;
            }
            Action::Refuse { code, reason, .. } => {
                let tracked = &self.jobs[&id];
                assert_eq!(tracked.running, None, "complete: {action:?} while it runs");
                assert!(
                    !tracked.may_have_run || code.run() != Run::No,
                    "refusal: {action:?} was sent"
                );
                self.check_tier(action, *code, *reason);
                self.mark_ended(id);
            }
            Action::Queued { .. } => assert_eq!(self.jobs[&id].running, None, "complete"),
        }
    }

    /// Checks that, on a refusal for lack of a slot or place, no lower tier keeps one that the job
    /// could use.
    fn check_tier(&self, action: &Action, code: Code, reason: Reason) {
        let refused = &self.jobs[&action.id()];
        let tier = refused.job.tier;
        if let Reason::Shed { by } = reason {
            assert!(tier > self.jobs[&by].job.tier, "tier: {action:?}");
            return;
        }
        let capacity_codes = [
            Code::QueueFull,
            Code::DeadlineUnreachable,
            Code::DeadlinePassed,
        ];
        if !capacity_codes.contains(&code) || (refused.late && code == Code::DeadlinePassed) {
            return;
        }
        for other in self.jobs.values().filter(|other| other.job.tier > tier) {
            let waits =
                other.running.is_none() && !other.may_have_run && other.job.id != action.id();
            assert!(
                code != Code::QueueFull || !waits,
                "tier: {action:?} before {other:?}"
            );
            let Some((upstream, _)) = &other.running else {
                continue;
            };
            // Only tier 0 preempts jobs on reserved slots.
            let preemptable = (tier == 0 || !other.reserved)
                && other.job.idempotent
                && other.can_start()
                && serves(upstream, &refused.job.target);
            let within_share = self.running_on(upstream) <= self.capacity(upstream);
            assert!(
                !preemptable || !within_share,
                "tier: {action:?} while {other:?} runs"
            );
        }
    }

    /// Checks the counts of jobs, slots and preemptable jobs in the dispatcher.
    fn check_counts(&self) {
        assert_eq!(
            self.dispatcher.in_flight(),
            self.jobs.len(),
            "complete: jobs"
        );
        let queued = (0..3)
            .map(|tier| self.dispatcher.queued(tier))
            .sum::<usize>();
        let waiting = self
            .jobs
            .values()
            .filter(|tracked| tracked.running.is_none());
        assert_eq!(queued, waiting.count(), "complete: queued");
        for (name, _) in UPSTREAMS {
            let outstanding = self.dispatcher.pool.outstanding(name);
            assert_eq!(
                outstanding,
                self.running_on(name),
                "complete: slots of {name}"
            );
        }
        let groups = &self.dispatcher.topology.groups;
        let indexed: usize = groups
            .iter()
            .map(|g| g.victims.len() + g.reserved_victims.len())
            .sum();
        let running = self
            .jobs
            .values()
            .filter(|tracked| tracked.running.is_some());
        let preemptable = running.filter(|tracked| tracked.job.idempotent && tracked.can_start());
        assert_eq!(
            indexed,
            preemptable.count(),
            "complete: index of running jobs"
        );
    }

    /// Checks that no waiting job could start on an upstream that the pool regards as free, unless
    /// it was lost with its upstream and the retry budget had no room for it.
    fn check_idle(&self) {
        let waiting = self.jobs.values().filter(|tracked| {
            let is_held = self.dispatcher.is_held_retry(tracked.job.id);
            assert!(
                !is_held || tracked.may_have_run && tracked.job.idempotent,
                "complete: {tracked:?} is held although it was not lost"
            );
            tracked.running.is_none() && !is_held
        });
        for tracked in waiting.filter(|tracked| tracked.can_start()) {
            let request = RouteRequest {
                target: &tracked.job.target,
                tier: tracked.job.tier,
                prompt_tokens: tracked.job.prompt_tokens,
                output_tokens: 0,
                body_bytes: tracked.job.body_bytes,
                prefix_hash: tracked.job.prefix_hash,
                output_tokens_max: 0,
                aims: LatencyAims::default(),
                deadline_us: 0,
                parts: &[],
                job: 0,
                resume: tracked.tokens > 0,
                avoid: None,
            };
            let pick = self.dispatcher.pool.clone().choose(self.now_us, &request);
            assert!(
                pick.is_none(),
                "complete: {pick:?} is idle while {tracked:?} waits"
            );
        }
    }

    /// Returns how many jobs may run on an upstream at once.
    fn capacity(&self, upstream: &str) -> u32 {
        let share = self.shares.get(upstream).copied();
        self.slots.min(share.unwrap_or(u32::MAX))
    }

    /// Returns how many jobs run on an upstream.
    fn running_on(&self, upstream: &str) -> u32 {
        let running = self
            .jobs
            .values()
            .filter_map(|tracked| tracked.running.as_ref());
        u32::try_from(running.filter(|(name, _)| name == upstream).count()).unwrap()
    }

    fn mark_ended(&mut self, id: JobId) {
        assert!(
            self.jobs.remove(&id).is_some(),
            "complete: {id:?} ended twice"
        );
        self.ended.insert(id);
    }
}

impl Tracked {
    /// Returns whether an upstream of its target can run it, continuing its answer if one has
    /// started.
    fn can_start(&self) -> bool {
        self.tokens == 0 || matches!(self.job.target, Target::Model(_))
    }
}

impl Dispatcher {
    fn tick_at(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        self.tick(now_us, actions);
    }
}

/// Returns one of the two models or the plain service.
pub(crate) fn target(index: usize) -> Target {
    match index % 3 {
        0 => Target::Model("faucet".into()),
        1 => Target::Model("coil".into()),
        _ => Target::Service("parts".into()),
    }
}

/// Returns whether an upstream serves a target.
fn serves(upstream: &str, target: &Target) -> bool {
    let (_, models) = UPSTREAMS
        .iter()
        .find(|(name, _)| *name == upstream)
        .unwrap();
    match target {
        Target::Model(model) => models.contains(&&**model),
        Target::Service(service) => **service == *upstream,
    }
}

/// Returns a configuration with three tiers and [`UPSTREAMS`].
pub(crate) fn config(slots: u32) -> Config {
    let class = |tier: u8, reserved_percent| Class {
        name: format!("tier-{tier}"),
        tier,
        first_token_ms: 500,
        token_gap_ms: 33,
        max_wait_ms: 1_000,
        reserved_percent,
    };
    let upstream = |(name, models): (&str, &[&str])| Upstream {
        name: name.to_owned(),
        kind: if models.is_empty() {
            UpstreamKind::Service
        } else {
            UpstreamKind::Model
        },
        address: "127.0.0.1:1".parse().unwrap(),
        region: "costa".to_owned(),
        zone: "costa-norte".to_owned(),
        models: models.iter().map(|&model| model.to_owned()).collect(),
        service: if models.is_empty() {
            name.to_owned()
        } else {
            String::new()
        },
        slots,
        honours: Honours {
            resume: !models.is_empty(),
            ..Honours::default()
        },
        state: UpstreamLifecycle::Live,
        engine: None,
        started_ms: None,
        reclaimable: false,
    };
    Config {
        classes: vec![class(0, 0), class(1, 20), class(2, 10)],
        upstreams: UPSTREAMS.into_iter().map(upstream).collect(),
        ..Config::default()
    }
}

/// Returns a job whose identifier is set on submission.
pub(crate) fn job(tier: u8, target: Target, idempotent: bool, wait_ms: u64) -> Job {
    Job {
        id: JobId(0),
        account: format!("account-{}", wait_ms % 3).as_str().into(),
        class: format!("tier-{tier}").as_str().into(),
        tier,
        target,
        prompt_tokens: 64,
        max_tokens: 0,
        body_bytes: 100,
        prefix_hash: 0,
        aims: LatencyAims::default(),
        deadline_us: wait_ms * 1_000,
        idempotent,
        prompt: [].into(),
        prompt_parts: crate::PromptParts::default(),
        policy: JobPolicy::default(),
    }
}
