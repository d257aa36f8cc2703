//! Load patterns on model engines, sent by several daemons that exchange no messages.

use std::collections::BTreeSet;

use settings::{Config, EngineCapacity, Honours, Upstream, UpstreamKind, UpstreamLifecycle};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    AttemptOutcome, EngineLoad, LatencyAims, LoadAnnouncement, Locality, PeerLoads, Pool,
    PromptPart, RouteRequest, Target,
};

/// Prompt tokens that an engine of these tests processes per millisecond.
const TOKENS_PER_MS: u64 = 50;

fn engines(count: usize) -> Vec<Upstream> {
    let localities = [("costa", "norte"), ("costa", "sur"), ("sierra", "centro")];
    let engine = |index: usize| {
        let (region, zone) = localities[index % localities.len()];
        Upstream {
            name: format!("engine-{index:02}"),
            kind: UpstreamKind::Service,
            address: ([127, 0, 0, 1], 1).into(),
            region: region.to_owned(),
            zone: zone.to_owned(),
            models: Vec::new(),
            service: "faucet".to_owned(),
            slots: 64,
            honours: Honours::default(),
            state: UpstreamLifecycle::Live,
            engine: Some(EngineCapacity {
                cache_tokens: 600_000,
                ..EngineCapacity::default()
            }),
            started_ms: None,
            reclaimable: false,
        }
    };
    (0..count).map(engine).collect()
}

fn pools(engines: &[Upstream]) -> Vec<Pool> {
    let mut config = Config {
        version: 1,
        upstreams: engines.to_vec(),
        ..Config::default()
    };
    config.sort();
    let localities = [("costa", "norte"), ("costa", "sur"), ("sierra", "centro")];
    let pools = (0..6).map(|index| {
        let (region, zone) = localities[index % localities.len()];
        let mut pool = Pool::new(Locality::new(region, zone)).with_seed(index as u64);
        pool.configure(0, &config);
        pool
    });
    pools.collect()
}

/// Returns a prompt with a shared part for its subject and a part of its own.
fn prompt(subject: u64, request: u64) -> [PromptPart; 2] {
    [
        PromptPart {
            id: subject,
            tokens: 13_000,
        },
        PromptPart {
            id: 1_000_000 + request,
            tokens: 3_000,
        },
    ]
}

fn choose(pool: &mut Pool, now_us: u64, job: u64, parts: &[PromptPart]) -> Option<String> {
    choose_avoiding(pool, now_us, job, parts, None)
}

fn choose_avoiding(
    pool: &mut Pool,
    now_us: u64,
    job: u64,
    parts: &[PromptPart],
    avoid: Option<&str>,
) -> Option<String> {
    let target = Target::Service("faucet".into());
    let route_request = RouteRequest {
        target: &target,
        tier: 1,
        prompt_tokens: parts.iter().map(|part| part.tokens).sum(),
        output_tokens: 100,
        output_tokens_max: 0,
        aims: LatencyAims::default(),
        deadline_us: 0,
        body_bytes: 17_000,
        prefix_hash: 0,
        parts,
        job,
        resume: false,
        avoid,
    };
    pool.choose(now_us, &route_request)
        .map(|pick| pick.upstream.as_ref().to_owned())
}

/// Records a complete attempt with the timing of an engine of these tests.
fn answer(pool: &mut Pool, now_us: u64, upstream: &str, job: u64, tokens: u32) {
    let elapsed_us = u64::from(tokens) * 1_000 / TOKENS_PER_MS;
    pool.record_first_token(now_us, upstream, elapsed_us, tokens);
    pool.record_prompt_read(now_us, upstream, job);
    pool.prompt_ended(upstream, job, AttemptOutcome::Complete);
    pool.end_after_first_token(now_us, upstream, AttemptOutcome::Complete);
}

/// Guards against processing a shared part on one engine after another. Light traffic about many
/// subjects arrives at all daemons in turn.
#[test]
fn each_shared_part_is_read_on_one_engine() {
    let mut pools = pools(&engines(12));
    let mut read = BTreeSet::new();
    for request in 0..600 {
        let now_us = request * 50_000;
        let (subject, daemon) = (request * 7 % 40, (request % 6) as usize);
        let parts = prompt(subject, request);
        let engine = choose(&mut pools[daemon], now_us, request, &parts).unwrap();
        read.insert((subject, engine.clone()));
        answer(&mut pools[daemon], now_us, &engine, request, 3_000);
    }
    assert_eq!(read.len(), 40, "{read:?}");
}

/// Guards against a queue on one engine while others are idle. All prompts are about one subject.
#[test]
fn a_subject_in_great_demand_spreads_to_few_engines() {
    let mut pool = pools(&engines(12)).remove(0);
    let mut used = BTreeSet::new();
    for request in 0..60 {
        let parts = prompt(1, request);
        used.insert(choose(&mut pool, 0, request, &parts).unwrap());
    }
    assert!((2..=6).contains(&used.len()), "{used:?}");
}

/// Guards against short prompts that wait behind long ones. Long prompts load the engines before
/// the short ones arrive.
#[test]
fn short_prompts_keep_their_engines_while_long_ones_arrive() {
    let mut pool = pools(&engines(12)).remove(0);
    let mut long = BTreeSet::new();
    for request in 0..8 {
        long.insert(choose(&mut pool, 0, request, &prompt(request, request)).unwrap());
    }
    for request in 100..120 {
        let short = [PromptPart {
            id: 2_000_000 + request,
            tokens: 1_000,
        }];
        let engine = choose(&mut pool, 0, request, &short).unwrap();
        assert!(!long.contains(&engine), "{engine} reads long prompts");
    }
}

/// Guards against assuming that an engine still has its cache after a crash.
#[test]
fn a_crashed_engine_has_read_nothing() {
    let mut pool = pools(&engines(1)).remove(0);
    let parts = prompt(1, 1);
    let engine = choose(&mut pool, 0, 1, &parts).unwrap();
    pool.prompt_ended(&engine, 1, AttemptOutcome::ConnectFailed);
    pool.end_before_first_token(0, &engine, AttemptOutcome::ConnectFailed, 0);
    let target = Target::Service("faucet".into());
    let route_request = RouteRequest {
        target: &target,
        tier: 1,
        prompt_tokens: 16_000,
        output_tokens: 100,
        output_tokens_max: 0,
        aims: LatencyAims::default(),
        deadline_us: 0,
        body_bytes: 17_000,
        prefix_hash: 0,
        parts: &parts,
        job: 2,
        resume: false,
        avoid: None,
    };
    let pick = pool.choose(60_000_000, &route_request).unwrap();
    assert_eq!(pick.work_tokens, 16_000);
}

/// Guards against ignoring the load of other daemons. The home of a subject is busy with their
/// work.
#[test]
fn work_of_other_daemons_counts() {
    let mut pool = pools(&engines(12)).remove(0);
    let home = choose(&mut pool, 0, 1, &prompt(1, 1)).unwrap();
    answer(&mut pool, 1_000, &home, 1, 16_000);
    let busy = EngineLoad {
        unread_tokens: [0, 2_000_000, 0],
        ..EngineLoad::default()
    };
    let mut peer_loads = PeerLoads::default();
    let announcement = LoadAnnouncement {
        engines: vec![(xxh3_64(home.as_bytes()), busy)],
        kinds: Vec::new(),
    };
    peer_loads.update(2_000, "other", &announcement);
    pool.apply_peer_loads(2_000, &peer_loads);
    let other = choose(&mut pool, 2_000, 2, &prompt(1, 2)).unwrap();
    assert_ne!(other, home);
    let far_later_us = 120_000_000;
    let again = choose(&mut pool, far_later_us, 3, &prompt(9, 3));
    assert!(again.is_some());
}

/// Guards against a prompt that waits for another engine after a failed attempt although there is
/// none: the engine to be avoided is used if no other has a free slot.
#[test]
fn avoided_engine_is_taken_where_there_is_no_other() {
    for (count, same) in [(1, true), (2, false)] {
        let mut pool = pools(&engines(count)).remove(0);
        let first = choose(&mut pool, 0, 1, &prompt(0, 1)).unwrap();
        pool.prompt_ended(&first, 1, AttemptOutcome::Rejected);
        pool.end_before_first_token(1_000, &first, AttemptOutcome::Rejected, 1_000);
        let second = choose_avoiding(&mut pool, 2_000, 1, &prompt(0, 1), Some(&first)).unwrap();
        assert_eq!(first == second, same, "{count} engines");
    }
}

/// Guards against a prompt that uses up its attempts on a dead engine within milliseconds while a
/// healthy engine is only full for the moment.
#[test]
fn dead_engine_is_not_tried_again_while_a_sound_one_is_full() {
    let mut pool = pools(&engines(2)).remove(0);
    let first = choose(&mut pool, 0, 1, &prompt(0, 1)).unwrap();
    pool.prompt_ended(&first, 1, AttemptOutcome::ConnectFailed);
    pool.end_before_first_token(1_000, &first, AttemptOutcome::ConnectFailed, 1_000);
    let avoid = Some(first.as_str());
    let mut job = 2;
    while let Some(other) = choose_avoiding(&mut pool, 2_000, job, &prompt(0, job), avoid) {
        assert_ne!(other, first, "job {job}");
        job += 1;
    }
    assert!(job > 2);
}

/// Submits a prompt with latency targets and records its first event; returns its engine.
fn begin_stream(pool: &mut Pool, now_us: u64, job: u64, tokens: u32, event_gap_us: u64) -> String {
    let target = Target::Service("faucet".into());
    let parts = [PromptPart {
        id: 3_000_000 + job,
        tokens,
    }];
    let request = RouteRequest {
        target: &target,
        tier: 1,
        prompt_tokens: tokens,
        output_tokens: 100,
        output_tokens_max: 400,
        aims: LatencyAims::new(now_us + 1_000_000, event_gap_us),
        deadline_us: now_us + 10_000_000,
        body_bytes: 2_000,
        prefix_hash: 0,
        parts: &parts,
        job,
        resume: false,
        avoid: None,
    };
    let pick = pool.choose(now_us, &request).unwrap();
    let engine = pick.upstream.as_ref().to_owned();
    let elapsed_us = u64::from(pick.work_tokens) * 1_000 / TOKENS_PER_MS;
    pool.record_first_token(now_us + elapsed_us, &engine, elapsed_us, pick.work_tokens);
    pool.record_prompt_read(now_us + elapsed_us, &engine, job);
    engine
}

/// A prefill beside streams with a short target for the gap between events: long streams run while
/// long prompts arrive. Guards against prompts that pause the streams although engines without such
/// streams are free, and against streams that begin where long prompts are read. More than 95 in 100
/// streams are to be on time.
#[test]
fn long_prompts_keep_away_from_streams_with_short_gaps() {
    let mut pool = pools(&engines(12)).remove(0);
    let (mut streams, mut prompts) = (Vec::new(), BTreeSet::new());
    for round in 0..60 {
        let now_us = round * 100_000;
        for job in 0..2 {
            let gap_us = 100_000;
            streams.push(begin_stream(
                &mut pool,
                now_us,
                round * 10 + job,
                700,
                gap_us,
            ));
        }
        let patient_us = 2_000_000;
        let engine = begin_stream(&mut pool, now_us, round * 10 + 5, 9_000, patient_us);
        // The first prompts arrive before any speed has been observed.
        if round >= 20 {
            prompts.insert(engine);
        }
    }
    let paused = streams.iter().filter(|engine| prompts.contains(*engine));
    let paused = paused.count();
    assert!(paused * 20 < streams.len(), "{paused} of {}", streams.len());
}
