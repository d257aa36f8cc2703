//! Cost of one selection, and of the events of one request, with 12, 300 and 2,300 upstreams.

use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use route::{AttemptOutcome, LatencyAims, Locality, Pool, RouteRequest, Target};
use settings::{Config, Honours, Upstream, UpstreamKind, UpstreamLifecycle};

const SIZES: [usize; 3] = [12, 300, 2_300];

fn pool(size: usize) -> (Pool, Config) {
    let upstream = |index: usize| Upstream {
        name: format!("engine-{index:04}"),
        kind: UpstreamKind::Model,
        address: ([127, 0, 0, 1], 8_000).into(),
        region: format!("region-{}", index % 4),
        zone: format!("zone-{}", index % 13),
        models: vec!["sabiá".to_owned()],
        service: String::new(),
        slots: 32,
        honours: Honours::default(),
        state: UpstreamLifecycle::Live,
        engine: None,
        started_ms: None,
        reclaimable: false,
    };
    let mut config = Config {
        version: 1,
        upstreams: (0..size).map(upstream).collect(),
        ..Config::default()
    };
    config.sort();
    let mut pool = Pool::new(Locality::new("region-0", "zone-0")).with_seed(1);
    pool.configure(0, &config);
    pool.set_link_budget(1_000_000_000);
    (pool, config)
}

fn bench(criterion: &mut Criterion) {
    let target = Target::Model("sabiá".into());
    let request = |prefix_hash| RouteRequest {
        target: &target,
        tier: 1,
        prompt_tokens: 800,
        output_tokens: 200,
        output_tokens_max: 0,
        aims: LatencyAims::default(),
        deadline_us: 0,
        body_bytes: 4_000,
        prefix_hash,
        parts: &[],
        job: 0,
        resume: false,
        avoid: None,
    };
    let mut group = criterion.benchmark_group("choose");
    for size in SIZES {
        // Almost all upstreams are idle: select one and end the attempt at once.
        group.bench_function(BenchmarkId::new("choose_end", size), |bencher| {
            let (mut pool, _) = pool(size);
            let mut now_us = 0;
            bencher.iter(|| {
                now_us += 50;
                let pick = pool.choose(now_us, &request(now_us % 1_000)).unwrap();
                pool.end(now_us, &pick.upstream, AttemptOutcome::Complete);
                black_box(pick)
            });
        });
        // A request with its first token and ten further tokens, with half the slots busy.
        group.bench_function(BenchmarkId::new("request", size), |bencher| {
            let (mut pool, _) = pool(size);
            let mut now_us = 0;
            for _ in 0..16 * size {
                pool.choose(now_us, &request(0)).unwrap();
            }
            bencher.iter(|| {
                now_us += 50;
                let pick = pool.choose(now_us, &request(now_us % 1_000)).unwrap();
                pool.record_first_token(now_us, &pick.upstream, 130_000, 800);
                for _ in 0..10 {
                    pool.record_tokens(now_us, &pick.upstream, 20_000, 1);
                }
                pool.end_after_first_token(now_us, &pick.upstream, AttemptOutcome::Complete);
                black_box(pick)
            });
        });
        group.bench_function(BenchmarkId::new("refresh", size), |bencher| {
            let (mut pool, config) = pool(size);
            let mut now_us = 0;
            for upstream in &config.upstreams {
                pool.record_tokens(1, &upstream.name, 20_000, 16);
                pool.record_first_token(1, &upstream.name, 130_000, 800);
            }
            let none = Target::Model("none".into());
            bencher.iter(|| {
                now_us += 200_001;
                let request = RouteRequest {
                    target: &none,
                    ..request(0)
                };
                black_box(pool.choose(now_us, &request))
            });
        });
    }
    group.finish();
}

criterion_group!(benches, bench);
criterion_main!(benches);
