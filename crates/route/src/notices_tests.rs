//! Tests of upstreams that say that they are leaving or want a pause.

use settings::{Upstream, UpstreamLifecycle};

use crate::{
    AttemptOutcome, DepartureSource, KnownDeparture, Locality, PAUSE_MAX_US, Pool, PromptPart,
    RouteRequest,
    tests::{config, engine, model, request},
};

const SECOND_US: u64 = 1_000_000;

/// Returns an engine whose instance started at a time.
fn instance(name: &str, started_ms: u64) -> Upstream {
    let mut upstream = engine(name, "costa", "norte");
    upstream.started_ms = Some(started_ms);
    upstream
}

fn pool(upstreams: &[Upstream]) -> Pool {
    let mut pool = Pool::new(Locality::new("costa", "norte"));
    pool.configure(0, &config(5, upstreams));
    pool
}

/// Returns how many of 64 requests, none of which has ended, an upstream gets; half of them are
/// prompts.
fn requests_for(pool: &mut Pool, now_us: u64, upstream: &str) -> usize {
    let model = model();
    let parts = [PromptPart { id: 1, tokens: 100 }];
    let picks: Vec<String> = (0..64)
        .filter_map(|number| {
            let mut request = request(&model);
            if number % 2 == 0 {
                request = RouteRequest {
                    parts: &parts,
                    job: number,
                    ..request
                };
            }
            let pick = pool.choose(now_us, &request)?;
            Some(pick.upstream.to_string())
        })
        .collect();
    for pick in &picks {
        pool.end(now_us, pick, AttemptOutcome::Cancelled);
    }
    picks.iter().filter(|pick| *pick == upstream).count()
}

type Change<'a> = &'a dyn Fn(&mut Pool);

// Guards against work for an upstream that has said that it is leaving because a list, which is
// older than its word, has it as live; and against holding that against its next instance.
#[test]
fn upstream_that_says_it_leaves_gets_no_work_whatever_the_lists_say() {
    let live = [instance("a", 1), instance("b", 1)];
    let mut listed_leaving = live.clone();
    listed_leaving[0].state = UpstreamLifecycle::Leaving;
    let restarted = [instance("a", 2), live[1].clone()];
    let say = |pool: &mut Pool| {
        pool.set_instance_leaving(1, "a", Some(1));
    };
    let cases: [(&str, &[Change<'_>], bool); 9] = [
        ("said", &[&say], false),
        (
            "newer configuration",
            &[&say, &|pool| pool.configure(2, &config(6, &live))],
            false,
        ),
        (
            "missing in an outage, then back",
            &[
                &say,
                &|pool| pool.configure(2, &config(6, &live[1..])),
                &|pool| pool.configure(3, &config(7, &live)),
            ],
            false,
        ),
        (
            "said while the lists don't have it",
            &[
                &|pool| pool.configure(1, &config(6, &live[1..])),
                &say,
                &|pool| pool.configure(3, &config(7, &live)),
            ],
            false,
        ),
        (
            "lists read anew for longer than the leaving period",
            &[
                &say,
                &|pool| pool.configure(500 * SECOND_US, &config(6, &live)),
                &|pool| pool.configure(1_000 * SECOND_US, &config(7, &live)),
            ],
            false,
        ),
        (
            "listed as leaving, then as live by a newer configuration",
            &[
                &say,
                &|pool| pool.configure(2, &config(6, &listed_leaving)),
                &|pool| pool.configure(3, &config(7, &live)),
            ],
            false,
        ),
        (
            "another instance",
            &[&say, &|pool| pool.configure(2, &config(5, &restarted))],
            true,
        ),
        (
            "late answer of the instance before",
            &[&|pool| pool.configure(1, &config(5, &restarted)), &say],
            true,
        ),
        ("nothing said", &[], true),
    ];
    for (name, changes, gets_work) in cases {
        let mut pool = pool(&live);
        for change in changes {
            change(&mut pool);
        }
        let now_us = 1_001 * SECOND_US;
        let count = requests_for(&mut pool, now_us, "a");
        assert_eq!(count > 0, gets_work, "{name}: {count}");
        assert_eq!(pool.accepts_requests("a"), gets_work, "{name}");
    }
}

// Guards against a departure that was acted upon and then forgotten without a trace, and against one
// that is held against the next instance or against a row that had only expired.
#[test]
fn departures_stay_known_as_long_as_the_same_instance_is_meant() {
    use DepartureSource::{Answer, Gone, HostList, Listed};
    let live = [instance("a", 1), instance("b", 1)];
    let mut leaving = live.clone();
    leaving[0].state = UpstreamLifecycle::Leaving;
    let restarted = [instance("a", 2), live[1].clone()];
    let known = |source| {
        Some(KnownDeparture {
            since_us: 2,
            source,
        })
    };
    let list = |pool: &mut Pool, us, version, upstreams: &[Upstream]| {
        pool.configure(us, &config(version, upstreams));
    };
    let cases: [(&str, &[Change<'_>], Option<KnownDeparture>); 8] = [
        ("live", &[], None),
        (
            "listed",
            &[&|pool| list(pool, 2, 5, &leaving)],
            known(Listed),
        ),
        (
            "listed, then live by a newer configuration",
            &[&|pool| list(pool, 2, 5, &leaving), &|pool| {
                list(pool, 3, 6, &live);
            }],
            known(Listed),
        ),
        (
            "listed, then another instance",
            &[&|pool| list(pool, 2, 5, &leaving), &|pool| {
                list(pool, 3, 5, &restarted);
            }],
            None,
        ),
        ("gone", &[&|pool| list(pool, 2, 5, &live[1..])], known(Gone)),
        (
            "gone, then back",
            &[&|pool| list(pool, 2, 5, &live[1..]), &|pool| {
                list(pool, 3, 5, &live);
            }],
            None,
        ),
        (
            "said, then gone and back",
            &[
                &|pool| {
                    pool.set_instance_leaving(2, "a", Some(1));
                },
                &|pool| list(pool, 3, 5, &live[1..]),
                &|pool| list(pool, 4, 5, &live),
            ],
            known(Answer),
        ),
        (
            "host list",
            &[&|pool| list(pool, 2, 5, &live), &|pool| {
                pool.set_leaving("a");
            }],
            known(HostList),
        ),
    ];
    for (name, changes, expected) in cases {
        let mut pool = pool(&live);
        for change in changes {
            change(&mut pool);
        }
        assert_eq!(pool.known_departure("a", Some(1)), expected, "{name}");
        assert_eq!(pool.known_departure("b", Some(1)), None, "{name}");
    }
}

// Guards against requests for an upstream in the pause that it asked for, which another
// configuration, a shorter pause or a time without a row must not end.
#[test]
fn upstream_that_asks_for_a_pause_gets_no_work_until_its_end() {
    let live = [instance("a", 1), instance("b", 1)];
    let restarted = [instance("a", 2), live[1].clone()];
    let pause = |pool: &mut Pool, us| pool.pause(0, "a", Some(1), us);
    let cases: [(&str, &[Change<'_>], u64); 8] = [
        ("asked", &[&|pool| pause(pool, 3 * SECOND_US)], 3),
        (
            "asked again for less",
            &[&|pool| pause(pool, 3 * SECOND_US), &|pool| pause(pool, 9)],
            3,
        ),
        (
            "asked again for more",
            &[&|pool| pause(pool, SECOND_US), &|pool| {
                pause(pool, 4 * SECOND_US);
            }],
            4,
        ),
        (
            "newer configuration",
            &[&|pool| pause(pool, 3 * SECOND_US), &|pool| {
                pool.configure(1, &config(6, &live));
            }],
            3,
        ),
        (
            "missing, then back",
            &[
                &|pool| pause(pool, 3 * SECOND_US),
                &|pool| pool.configure(1, &config(6, &live[1..])),
                &|pool| pool.configure(2, &config(7, &live)),
            ],
            3,
        ),
        (
            "another instance",
            &[&|pool| pause(pool, 3 * SECOND_US), &|pool| {
                pool.configure(1, &config(5, &restarted));
            }],
            0,
        ),
        (
            "late answer of the instance before",
            &[&|pool| pool.configure(0, &config(5, &restarted)), &|pool| {
                pause(pool, 3 * SECOND_US);
            }],
            0,
        ),
        (
            "absurdly long",
            &[&|pool| pause(pool, u64::MAX)],
            PAUSE_MAX_US / SECOND_US,
        ),
    ];
    for (name, changes, pause_s) in cases {
        let mut pool = pool(&live);
        for change in changes {
            change(&mut pool);
        }
        let ends_us = pause_s * SECOND_US;
        if ends_us > 0 {
            let count = requests_for(&mut pool, ends_us - 1, "a");
            assert_eq!(count, 0, "{name}: in the pause");
            assert!(!pool.accepts_requests("a"), "{name}");
        }
        let count = requests_for(&mut pool, ends_us + SECOND_US, "a");
        assert!(count > 0, "{name}: after the pause");
    }
}

// Guards against all requests that waited returning at the end of a pause at once.
#[test]
fn requests_return_gradually_after_a_pause() {
    let mut pool = pool(&[instance("a", 1)]);
    let before = requests_for(&mut pool, 0, "a");
    assert_eq!(before, 32);
    pool.pause(0, "a", Some(1), 2 * SECOND_US);
    let mut last = 0;
    for second in 2..12 {
        let count = requests_for(&mut pool, second * SECOND_US + 200_000, "a");
        assert!(count <= last + 8, "{count} after {last} at {second} s");
        last = count;
    }
    assert_eq!(last, 32);
}

// Guards against a time of return that one upstream without a pause, or one that never takes work
// again, would make wrong.
#[test]
fn earliest_return_is_known_only_while_all_upstreams_pause() {
    let live = [instance("a", 1), instance("b", 1), instance("c", 1)];
    let mut pool = pool(&live);
    let model = model();
    pool.pause(0, "a", Some(1), 5 * SECOND_US);
    pool.pause(0, "b", Some(1), 3 * SECOND_US);
    assert_eq!(pool.earliest_resume_us(&model), None);
    pool.set_instance_leaving(0, "c", Some(1));
    assert_eq!(pool.earliest_resume_us(&model), Some(3 * SECOND_US));
    assert_eq!(requests_for(&mut pool, 3 * SECOND_US - 1, "b"), 0);
    assert!(requests_for(&mut pool, 4 * SECOND_US, "b") > 0);
    assert_eq!(pool.earliest_resume_us(&model), None);
}

// Guards against requests for an upstream that is leaving because a later list, read from a store
// that has come back from an older copy, has the same instance as live under a newer configuration.
#[test]
fn leaving_instance_stays_out_when_the_list_goes_back() {
    let live = [instance("a", 1), instance("b", 1)];
    let mut leaving = live.clone();
    leaving[0].state = UpstreamLifecycle::Leaving;
    for says_so in [false, true] {
        let mut pool = pool(&live);
        if says_so {
            pool.set_instance_leaving(1, "a", Some(1));
        }
        pool.configure(2, &config(5, &leaving));
        pool.configure(3, &config(6, &live));
        assert_eq!(requests_for(&mut pool, 4, "a"), 0, "says so: {says_so}");
    }
}

// Guards against an upstream that drains, leaves and starts again under its name, and gets no
// request until the next version of the configuration.
#[test]
fn next_instance_gets_work_after_a_listed_departure() {
    let live = [instance("a", 1), instance("b", 1)];
    let mut leaving = live.clone();
    leaving[0].state = UpstreamLifecycle::Leaving;
    let restarted = [instance("a", 2), live[1].clone()];
    for says_so in [false, true] {
        let mut pool = pool(&live);
        if says_so {
            pool.set_instance_leaving(1, "a", Some(1));
        }
        pool.configure(2, &config(5, &leaving));
        pool.configure(3, &config(5, &live[1..]));
        pool.configure(4, &config(5, &restarted));
        assert!(requests_for(&mut pool, 5, "a") > 0, "says so: {says_so}");
    }
}
