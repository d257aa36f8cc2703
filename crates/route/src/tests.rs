//! Tests of upstream selection, outlier detection and the hedge budget.

use settings::{Config, Honours, Upstream, UpstreamKind, UpstreamLifecycle};

use crate::{
    AttemptOutcome, HedgeBudget, LatencyAims, LoadReport, Locality, Pool, RouteRequest, Target,
};

const SECOND_US: u64 = 1_000_000;

/// Returns a model engine in a region and availability zone.
pub fn engine(name: &str, region: &str, zone: &str) -> Upstream {
    Upstream {
        name: name.to_owned(),
        kind: UpstreamKind::Model,
        address: ([127, 0, 0, 1], 8_000).into(),
        region: region.to_owned(),
        zone: zone.to_owned(),
        models: vec!["m".to_owned()],
        service: String::new(),
        slots: 32,
        honours: Honours::default(),
        state: UpstreamLifecycle::Live,
        engine: None,
        started_ms: None,
        reclaimable: false,
    }
}

fn local(count: usize) -> Vec<Upstream> {
    let engines = (0..count).map(|index| engine(&format!("e{index:02}"), "costa", "norte"));
    engines.collect()
}

pub fn config(version: u64, upstreams: &[Upstream]) -> Config {
    let mut config = Config {
        version,
        upstreams: upstreams.to_vec(),
        ..Config::default()
    };
    config.sort();
    config
}

fn pool(upstreams: &[Upstream]) -> Pool {
    let mut pool = Pool::new(Locality::new("costa", "norte"));
    pool.configure(0, &config(5, upstreams));
    pool
}

pub fn request(target: &Target) -> RouteRequest<'_> {
    RouteRequest {
        target,
        tier: 0,
        prompt_tokens: 500,
        output_tokens: 100,
        output_tokens_max: 0,
        aims: LatencyAims::default(),
        deadline_us: 0,
        body_bytes: 2_000,
        prefix_hash: 0,
        parts: &[],
        job: 0,
        resume: false,
        avoid: None,
    }
}

pub fn model() -> Target {
    Target::Model("m".into())
}

fn choose(pool: &mut Pool, now_us: u64, request: &RouteRequest<'_>) -> Option<String> {
    let pick = pool.choose(now_us, request);
    pick.map(|pick| pick.upstream.to_string())
}

/// Runs one job that completes at once.
fn run(pool: &mut Pool, now_us: u64) {
    if let Some(pick) = pool.choose(now_us, &request(&model())) {
        pool.end(now_us, &pick.upstream, AttemptOutcome::Complete);
    }
}

/// Records one token of each upstream; those in `slow` take `percent` of the normal time.
fn feed(pool: &mut Pool, now_us: u64, names: &[&str], slow: &[&str], percent: u64) {
    for name in names {
        let percent = if slow.contains(name) { percent } else { 100 };
        pool.record_tokens(now_us, name, 200 * percent, 1);
    }
}

// Guards against work that crosses zones or regions while near upstreams perform well, and against
// work that queues on near upstreams that are full or slow.
#[test]
fn distance_is_weighed_against_waiting() {
    let cases = [
        // name, jobs on `near`, jobs on `zone`, token time of `near` in percent, expected
        ("idle: same zone", 0, 0, 100, "near"),
        ("as many jobs: same zone", 4, 4, 100, "near"),
        ("clearly more: other zone", 8, 0, 100, "zone"),
        (
            "both half full: not yet the other region",
            16,
            16,
            1,
            "near",
        ),
        ("both nearly full: other region", 30, 30, 100, "far"),
        ("both full: other region", 32, 32, 100, "far"),
        ("near slow: other zone", 0, 0, 300, "zone"),
        ("near a little slow: same zone", 0, 0, 140, "near"),
    ];
    for (name, near, zone, percent, expected) in cases {
        let upstreams = [
            engine("near", "costa", "norte"),
            engine("zone", "costa", "sur"),
            engine("far", "sierra", "centro"),
        ];
        let mut pool = pool(&upstreams);
        let target = model();
        for (upstream, jobs) in [("near", near), ("zone", zone)] {
            for other in ["near", "zone", "far"] {
                pool.set_share(other, (other != upstream).then_some(0));
            }
            for _ in 0..jobs {
                assert_eq!(
                    choose(&mut pool, 0, &request(&target)).as_deref(),
                    Some(upstream)
                );
            }
        }
        for other in ["near", "zone", "far"] {
            pool.set_share(other, None);
        }
        if percent > 100 {
            for step in 1..50 {
                feed(
                    &mut pool,
                    step * 4_000,
                    &["near", "zone", "far"],
                    &["near"],
                    percent,
                );
            }
        }
        let chosen = choose(&mut pool, SECOND_US / 5, &request(&target));
        assert_eq!(
            chosen.as_deref(),
            Some(expected),
            "{name} {:?}",
            pool.statuses()
        );
    }
}

// Guards against large bodies or low tiers that use up the link, and against jobs that are lost
// instead of waiting when the budget is used up.
#[test]
fn link_budget_serves_higher_tiers_and_small_bodies_first() {
    const RATE: u64 = 1_000_000;
    let cases = [
        // name, bytes sent before, tier, body size, bodies that pass at once
        ("full, top tier", 0, 0, 100_000, 8),
        (
            "full, middle tier: leaves the reserve, one from its own part",
            0,
            1,
            100_000,
            6 + 1,
        ),
        (
            "full, low tier: leaves the reserve, one from its own part",
            0,
            2,
            100_000,
            4 + 1,
        ),
        ("half empty, top tier", 550_000, 0, 100_000, 2),
        ("half empty, middle tier", 550_000, 1, 100_000, 1),
        ("half empty, low tier", 550_000, 2, 25_000, 4),
        ("half empty, large body", 400_000, 0, 270_000, 0),
        ("empty, top tier waits", 800_000, 0, 1_000, 0),
        ("empty, low tier has its own part", 800_000, 2, 25_000, 4),
        (
            "body beyond the bucket passes when it is full",
            0,
            0,
            2_000_000,
            1,
        ),
    ];
    for (name, before, tier, body_bytes, expected) in cases {
        let mut pool = pool(&[engine("far", "sierra", "centro")]);
        pool.set_link_budget(RATE);
        let target = model();
        if before > 0 {
            let first = RouteRequest {
                body_bytes: before,
                ..request(&target)
            };
            assert!(pool.choose(0, &first).is_some(), "{name}: first");
        }
        let second = RouteRequest {
            tier,
            body_bytes,
            ..request(&target)
        };
        let passed = (0..20).filter(|_| pool.choose(0, &second).is_some());
        assert_eq!(passed.count(), expected, "{name}");
        let waited = pool.choose(10 * SECOND_US, &second);
        assert!(
            waited.is_some(),
            "{name}: passes once the bucket is full again"
        );
    }
}

// Guards against large bodies that cross regions while an upstream in the region has a free slot.
#[test]
fn large_body_stays_in_region_while_it_has_room() {
    let upstreams = [
        engine("far", "sierra", "centro"),
        engine("near", "costa", "norte"),
    ];
    let mut pool = pool(&upstreams);
    let target = model();
    let photo = RouteRequest {
        body_bytes: 600_000,
        ..request(&target)
    };
    for _ in 0..32 {
        assert_eq!(choose(&mut pool, 0, &photo).as_deref(), Some("near"));
    }
    assert_eq!(choose(&mut pool, 0, &photo).as_deref(), Some("far"));
    for _ in 0..32 {
        pool.end(0, "near", AttemptOutcome::ConnectFailed);
    }
    assert_eq!(
        choose(&mut pool, 1, &photo).as_deref(),
        Some("far"),
        "near is down"
    );
}

// Guards against a straggler that keeps its share of work until load reports reveal it.
#[test]
fn straggler_is_ejected_within_a_second_and_returns_in_steps() {
    let names = ["e00", "e01", "e02", "e03"];
    let mut pool = pool(&local(4));
    let target = model();
    let mut now_us = 0;
    for _ in 0..100 {
        now_us += 20_000;
        feed(&mut pool, now_us, &names, &[], 100);
        run(&mut pool, now_us);
    }
    assert!(pool.statuses().iter().all(|status| status.weight > 0.9));
    // A stream with 80 ms between tokens produces twelve of them in a second.
    for _ in 0..12 {
        now_us += 80_000;
        feed(&mut pool, now_us, &["e01"], &["e01"], 400);
        for _ in 0..4 {
            feed(&mut pool, now_us, &["e00", "e02", "e03"], &[], 100);
        }
    }
    assert!(pool.straggler("e01").is_some(), "{:?}", pool.statuses());
    let mut picked = 0;
    for _ in 0..64 {
        now_us += 50_000;
        let pick = pool
            .choose(
                now_us,
                &RouteRequest {
                    tier: 2,
                    ..request(&target)
                },
            )
            .unwrap();
        feed(&mut pool, now_us, &names, &["e01"], 400);
        picked += u32::from(&*pick.upstream == "e01");
        pool.end_before_first_token(now_us, &pick.upstream, AttemptOutcome::Cancelled, 0);
    }
    assert!(
        (1..=4).contains(&picked),
        "occasional probes only: {picked}"
    );
    let weight = |pool: &Pool| pool.statuses()[1].weight;
    let mut weights = vec![weight(&pool)];
    for _ in 0..200 {
        now_us += 50_000;
        feed(&mut pool, now_us, &names, &[], 100);
        run(&mut pool, now_us);
        weights.push(weight(&pool));
    }
    assert_eq!((weights[0], weights[200] > 0.9), (0.0, true), "{weights:?}");
    assert!(
        weights.iter().any(|&weight| weight > 0.1 && weight < 0.6),
        "{weights:?}"
    );
}

// Guards against jobs that queue while only a straggler has free slots, and against filling a
// straggler like any other upstream.
#[test]
fn straggler_serves_a_part_while_the_others_are_full() {
    let names = ["e00", "e01", "e02", "e03"];
    let mut pool = pool(&local(4));
    let target = model();
    for step in 1..40 {
        feed(&mut pool, step * 20_000, &names, &["e02"], 400);
    }
    let now_us = SECOND_US;
    let picks = (0..200).map_while(|_| choose(&mut pool, now_us, &request(&target)));
    let picks: Vec<String> = picks.collect();
    let slow = picks.iter().filter(|pick| **pick == "e02").count();
    assert_eq!(picks.len() - slow, 96, "the others are filled");
    assert!((6..=12).contains(&slow), "a quarter of 32 slots: {slow}");
    let probes = picks[..96].iter().filter(|pick| **pick == "e02").count();
    assert!(probes <= 2, "the straggler comes last: {probes}");
    let status = &pool.statuses()[2];
    assert!(status.ejected && status.slowdown > 2.5, "{status:?}");
}

// Guards against daemons that all select the same upstream first.
#[test]
fn equal_upstreams_are_ordered_by_the_seed() {
    let mut first: Vec<String> = Vec::new();
    for seed in 0..64 {
        let mut pool = Pool::new(Locality::new("costa", "norte")).with_seed(seed);
        pool.configure(0, &config(1, &local(8)));
        first.extend(choose(&mut pool, 0, &request(&model())));
    }
    for upstream in local(8) {
        let count = first.iter().filter(|name| **name == upstream.name).count();
        assert!(
            (2..=18).contains(&count),
            "{} comes first {count} times",
            upstream.name
        );
    }
}

// Guards against an engine that accepts work and never answers, so that its attempts yield no
// measurement, and against ejection when every engine is equally slow.
#[test]
fn silence_counts_before_the_attempt_ends() {
    for (name, silent, expected) in [("one silent", 1, true), ("all silent", 6, false)] {
        let mut pool = pool(&local(6));
        let target = model();
        let mut now_us = 0;
        for _ in 0..60 {
            now_us += 100_000;
            let pick = pool.choose(now_us, &request(&target)).unwrap();
            pool.record_first_token(now_us + 90_000, &pick.upstream, 90_000, 500);
            pool.end_after_first_token(now_us + 90_000, &pick.upstream, AttemptOutcome::Complete);
        }
        for index in 0..6 {
            for other in 0..6 {
                pool.set_share(
                    &format!("e{other:02}"),
                    Some(u32::from(other == index) * 32),
                );
            }
            for _ in 0..2 {
                pool.choose(now_us, &request(&target)).unwrap();
            }
        }
        for index in silent..6 {
            for _ in 0..2 {
                pool.record_first_token(now_us + 90_000, &format!("e{index:02}"), 90_000, 500);
            }
        }
        assert_eq!(pool.straggler("e00"), None, "{name}: before");
        pool.choose(now_us + SECOND_US, &request(&target));
        assert_eq!(pool.straggler("e00").is_some(), expected, "{name}");
    }
}

// Guards against a dead upstream that is retried at once, without backoff or by every job.
#[test]
fn failures_eject_for_a_growing_time() {
    for outcome in [AttemptOutcome::ConnectFailed, AttemptOutcome::Lost] {
        let mut pool = pool(&local(3));
        let target = model();
        let mut times_us = Vec::new();
        let mut now_us = 0;
        while times_us.len() < 5 {
            now_us += 10_000;
            let pick = pool.choose(now_us, &request(&target)).unwrap();
            if &*pick.upstream == "e00" {
                times_us.push(now_us);
                pool.end(now_us, "e00", outcome);
            } else {
                pool.end(now_us, &pick.upstream, AttemptOutcome::Complete);
            }
        }
        let waits: Vec<u64> = times_us.windows(2).map(|pair| pair[1] - pair[0]).collect();
        assert!(waits[0] >= 500_000, "{outcome:?} {waits:?}");
        assert!(
            waits.is_sorted_by(|a, b| 2 * a <= b + 400_000),
            "{outcome:?} {waits:?}"
        );
    }
}

// Guards against sending work at full rate to an upstream that has just rejected some.
#[test]
fn rejection_lowers_the_assumed_capacity_for_a_while() {
    let mut pool = pool(&local(1));
    let target = model();
    let fill = |pool: &mut Pool, now_us| {
        let mut count = 0;
        while count < 100 && pool.choose(now_us, &request(&target)).is_some() {
            count += 1;
        }
        count
    };
    for _ in 0..6 {
        pool.choose(0, &request(&target)).unwrap();
    }
    pool.end(0, "e00", AttemptOutcome::Rejected);
    assert_eq!(fill(&mut pool, 500_000), 0, "five jobs fill it for now");
    assert_eq!(
        fill(&mut pool, 2 * SECOND_US + 300_000),
        5,
        "four slots a second return"
    );
    assert_eq!(fill(&mut pool, 20 * SECOND_US), 22, "all slots are back");
}

// Guards against a daemon that treats an upstream as idle although other daemons fill it, or that
// reacts at once to a single lagging report.
#[test]
fn reports_show_the_load_of_other_daemons_slowly() {
    let mut pool = pool(&[
        engine("far", "sierra", "centro"),
        engine("near", "costa", "norte"),
    ]);
    let target = model();
    let full = LoadReport {
        running: 32,
        waiting: 0,
        cache_used_permille: 0,
    };
    let mut chosen = Vec::new();
    for _ in 0..10 {
        pool.report_load(0, "near", &full);
        let pick = pool.choose(0, &request(&target)).unwrap();
        pool.end(0, &pick.upstream, AttemptOutcome::Complete);
        chosen.push(pick.upstream.to_string());
    }
    assert_eq!((&*chosen[0], &*chosen[9]), ("near", "far"));
    let pick = choose(&mut pool, 120 * SECOND_US, &request(&target));
    assert_eq!(pick.as_deref(), Some("near"), "an old report is forgotten");
    let now_us = 120 * SECOND_US;
    for _ in 0..30 {
        let running = 23;
        pool.report_load(now_us, "near", &LoadReport { running, ..full });
    }
    let pick = choose(&mut pool, now_us, &request(&target));
    assert_eq!(
        pick.as_deref(),
        Some("near"),
        "small differences aren't followed"
    );
    // Load counts relative to this daemon's share, so using most of the share is a high load.
    pool.set_share("near", Some(8));
    while pool.outstanding("far") == 0 {
        assert!(
            pool.outstanding("near") < 8,
            "some work leaves before the share is used up"
        );
        choose(&mut pool, now_us, &request(&target));
    }
}

// Guards against repeating a prefill on another upstream, and against overloading the upstream
// that has a frequently used prefix cached.
#[test]
fn prefix_is_weighed_against_load() {
    let cases = [
        // name, jobs on the upstream that has the prefix, evicted, expected to be selected again
        ("idle holder", 0, false, true),
        ("half full holder", 16, false, true),
        ("half full holder, evicted", 16, true, false),
        ("nearly full holder", 30, false, false),
        ("full holder", 32, false, false),
    ];
    for (name, jobs, evicted, stays) in cases {
        let mut pool = pool(&local(6));
        let target = model();
        let first = RouteRequest {
            prefix_hash: 77,
            prompt_tokens: 1_500,
            ..request(&target)
        };
        let holder = choose(&mut pool, 0, &first).unwrap();
        pool.end(0, &holder, AttemptOutcome::Complete);
        for index in 0..6 {
            let other = format!("e{index:02}");
            pool.set_share(&other, (other != holder).then_some(0));
        }
        for _ in 0..jobs {
            pool.choose(0, &request(&target)).unwrap();
        }
        for index in 0..6 {
            pool.set_share(&format!("e{index:02}"), None);
        }
        if evicted {
            pool.cache_event(0, &holder, 77, false);
        }
        let again = choose(&mut pool, 0, &first).unwrap();
        assert_eq!(again == holder, stays, "{name}");
        let other = if holder == "e00" { "e01" } else { "e00" };
        pool.cache_event(0, other, 88, true);
        let second = RouteRequest {
            prefix_hash: 88,
            ..first
        };
        let pick = choose(&mut pool, 0, &second);
        assert_eq!(
            pick.as_deref(),
            Some(other),
            "{name}: cache event from another daemon's prefill"
        );
    }
}

type Leave<'a> = &'a dyn Fn(&mut Pool);

// Guards against new work for a leaving upstream, and against an older or equal configuration that
// brings it back.
#[test]
fn holds_leaving_until_a_newer_configuration() {
    let live = [engine("a", "costa", "norte"), engine("b", "costa", "norte")];
    let mut leaving = live.clone();
    leaving[0].state = UpstreamLifecycle::Leaving;
    let by_call = |pool: &mut Pool| pool.set_leaving("a");
    let by_config = |pool: &mut Pool| pool.configure(1, &config(6, &leaving));
    let withdrawn = |pool: &mut Pool| pool.configure(1, &config(7, &live[1..]));
    let early = |pool: &mut Pool| {
        pool.configure(0, &config(5, &live[1..]));
        pool.set_leaving("a");
    };
    let cases: [(&str, Leave<'_>, u64, u64, bool); 9] = [
        // name, how it leaves, version and time of the next configuration, expected to return
        ("call, equal", &by_call, 5, 2, false),
        ("call, older", &by_call, 4, 2, false),
        ("call, newer", &by_call, 6, 2, true),
        (
            "call, equal, period over",
            &by_call,
            5,
            700 * SECOND_US,
            true,
        ),
        ("configuration, older", &by_config, 5, 2, false),
        ("configuration, newer", &by_config, 7, 2, true),
        ("withdrawn, older", &withdrawn, 6, 2, false),
        ("withdrawn, newer", &withdrawn, 8, 2, true),
        (
            "call before the configuration lists it",
            &early,
            5,
            2,
            false,
        ),
    ];
    for (name, leave, version, at_us, returns) in cases {
        let mut pool = pool(&live);
        let target = model();
        let running =
            (0..4).filter(|_| choose(&mut pool, 0, &request(&target)).as_deref() == Some("a"));
        assert!(running.count() > 0);
        let before = pool.outstanding("a");
        leave(&mut pool);
        let gets_work = |pool: &mut Pool, now_us| {
            let picks = (0..9).filter_map(|_| {
                let pick = choose(pool, now_us, &request(&target))?;
                pool.end_after_first_token(now_us, &pick, AttemptOutcome::Complete);
                pool.set_share("b", Some(0));
                Some(pick == "a")
            });
            let any = picks.fold(false, |any, next| any | next);
            pool.set_share("b", None);
            any
        };
        assert!(!gets_work(&mut pool, 2), "{name}: leaving");
        assert_eq!(
            pool.outstanding("a"),
            before,
            "{name}: running attempts go on"
        );
        pool.configure(at_us, &config(version, &live));
        assert_eq!(
            gets_work(&mut pool, at_us),
            returns,
            "{name}: after version {version}"
        );
    }
}

// Guards against hedges beyond the budget, and against a delay without enough observations.
#[test]
fn hedges_stay_within_their_share() {
    let mut budget = HedgeBudget::new(20, 0.95);
    let mut hedges = 0;
    for step in 0..10_000_u64 {
        budget.start();
        assert_eq!(budget.delay_us(step).is_some(), step >= 100);
        budget.record_first_token(step, 1_000 * (step % 100 + 1));
        hedges += u32::from(budget.try_hedge());
    }
    assert_eq!(hedges, 200);
    let delay_us = budget.delay_us(10_000).unwrap();
    assert!((94_000..=96_000).contains(&delay_us), "{delay_us}");
    assert_eq!(
        budget.delay_us(100 * SECOND_US),
        None,
        "old observations are forgotten"
    );
}
