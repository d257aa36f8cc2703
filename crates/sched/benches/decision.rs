//! Benchmarks of an admission with the choice of an upstream, and of a cancellation, by number of
//! upstreams and queue length.

use std::{hint::black_box, sync::Arc};

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use sched::{Action, Dispatcher, Job, JobId, JobPolicy, LatencyAims, Outcome, Target};
use settings::{Account, Class, Config, Honours, Upstream, UpstreamKind, UpstreamLifecycle};

const ACCOUNTS: usize = 440;
const SLOTS: u32 = 4;
const MODELS: [&str; 3] = ["coil", "faucet", "manual"];

fn config(upstreams: usize) -> Config {
    let upstream = |index: usize| Upstream {
        name: format!("engine-{index:04}"),
        kind: UpstreamKind::Model,
        address: "127.0.0.1:1".parse().unwrap(),
        region: "costa".to_owned(),
        zone: "costa-norte".to_owned(),
        models: MODELS.map(str::to_owned).to_vec(),
        service: String::new(),
        slots: SLOTS,
        honours: Honours {
            resume: true,
            ..Honours::default()
        },
        state: UpstreamLifecycle::Live,
        engine: None,
        started_ms: None,
        reclaimable: false,
    };
    let account = |index: usize| Account {
        name: format!("account-{index:03}"),
        key_sha256: Vec::new(),
        default_class: "class-1".to_owned(),
        classes: Vec::new(),
        requests_per_s: u32::MAX,
        requests_in_flight: u32::MAX,
        tokens_in_flight: u64::MAX,
        weight: 1,
        tier: None,
    };
    let class = |tier: u8| Class {
        name: format!("class-{tier}"),
        tier,
        first_token_ms: 790,
        token_gap_ms: 33,
        max_wait_ms: 1_000,
        reserved_percent: 5 * tier,
    };
    Config {
        classes: (0..3).map(class).collect(),
        accounts: (0..ACCOUNTS).map(account).collect(),
        upstreams: (0..upstreams).map(upstream).collect(),
        ..Config::default()
    }
}

/// Dispatcher with busy upstreams and a queue.
struct Bench {
    dispatcher: Dispatcher,
    accounts: Vec<Arc<str>>,
    classes: Vec<Arc<str>>,
    targets: Vec<Target>,
    actions: Vec<Action>,
    next_id: u64,
}

impl Bench {
    fn new(upstreams: usize, queued: usize) -> Self {
        let mut bench = Self {
            dispatcher: Dispatcher::default().with_queue_max(1_000_000),
            accounts: (0..ACCOUNTS)
                .map(|index| format!("account-{index:03}").as_str().into())
                .collect(),
            classes: (0..3)
                .map(|tier| format!("class-{tier}").as_str().into())
                .collect(),
            targets: MODELS.map(|model| Target::Model(model.into())).to_vec(),
            actions: Vec::new(),
            next_id: 0,
        };
        let config = config(upstreams);
        bench.dispatcher.configure(0, &config, &mut bench.actions);
        // One slot stays free if nothing is queued.
        let running = upstreams * SLOTS as usize - usize::from(queued == 0);
        for _ in 0..running {
            bench.submit(0);
        }
        for index in 0..queued {
            bench.submit(index % 3);
        }
        bench
    }

    fn submit(&mut self, tier: usize) -> JobId {
        self.next_id += 1;
        let index = usize::try_from(self.next_id).unwrap_or(0);
        let id = JobId(self.next_id);
        let job = Job {
            id,
            account: self.accounts[index * 7 % ACCOUNTS].clone(),
            class: self.classes[tier].clone(),
            tier: u8::try_from(tier).unwrap_or(2),
            target: self.targets[index % MODELS.len()].clone(),
            prompt_tokens: 100,
            max_tokens: 200,
            body_bytes: 1_000,
            prefix_hash: self.next_id,
            aims: LatencyAims::default(),
            deadline_us: u64::MAX / 2,
            idempotent: true,
            prompt: [].into(),
            prompt_parts: sched::PromptParts::default(),
            policy: JobPolicy::default(),
        };
        self.actions.clear();
        self.dispatcher.submit(0, job, &mut self.actions);
        id
    }

    /// Completes a running job and returns the job that starts in its slot.
    fn finish(&mut self, id: JobId) -> Option<JobId> {
        self.actions.clear();
        self.dispatcher
            .finish(0, id, Outcome::Complete, &mut self.actions);
        self.actions.iter().find_map(|action| match action {
            Action::Start { id, .. } => Some(*id),
            _ => None,
        })
    }

    fn cancel(&mut self, id: JobId) {
        self.actions.clear();
        self.dispatcher.cancel(0, id, &mut self.actions);
    }
}

/// Measures both operations for each number of upstreams and queue length.
fn decision(criterion: &mut Criterion) {
    for upstreams in [12, 2_300] {
        for queued in [0, 1_000, 100_000] {
            let name = format!("{upstreams} upstreams, {queued} queued");
            let mut bench = Bench::new(upstreams, queued);
            let mut group = criterion.benchmark_group("decision");
            // An arrival, then a completion that starts the next job: the queue keeps its length.
            let mut running = JobId(1);
            group.bench_function(BenchmarkId::new("admit and choose", &name), |bencher| {
                bencher.iter(|| {
                    let arrival = bench.submit(2);
                    running = bench.finish(running).unwrap_or(arrival);
                    black_box(&bench.actions);
                });
            });
            let mut tier = 0;
            group.bench_function(BenchmarkId::new("cancel", &name), |bencher| {
                let bench = std::cell::RefCell::new(&mut bench);
                bencher.iter_batched(
                    || {
                        tier = (tier + 1) % 3;
                        bench.borrow_mut().submit(tier)
                    },
                    |id| bench.borrow_mut().cancel(id),
                    BatchSize::PerIteration,
                );
            });
            group.finish();
        }
    }
}

criterion_group!(benches, decision);
criterion_main!(benches);
