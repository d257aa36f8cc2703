//! Tests of upstreams that can't be reached.

use crate::{
    AttemptOutcome, Pool, RouteRequest,
    tests::{config, engine, model, request},
};

/// Returns a pool of engines with one slot each.
fn pool(count: usize) -> Pool {
    let engines = (0..count).map(|index| {
        let mut engine = engine(&format!("e{index}"), "costa", "norte");
        engine.slots = 1;
        engine
    });
    let engines: Vec<_> = engines.collect();
    let mut pool = Pool::default();
    pool.configure(0, &config(1, &engines));
    pool
}

fn choose(pool: &mut Pool, now_us: u64) -> Option<String> {
    let target = model();
    let pick = pool.choose(now_us, &request(&target));
    pick.map(|pick| pick.upstream.to_string())
}

/// Guards against jobs that go back to a killed engine within milliseconds while the other engines
/// are only full for the moment. Load: more jobs than slots, engine killed under them.
#[test]
fn engine_killed_under_streams_gets_nothing_while_others_are_full() {
    for outcomes in [
        vec![AttemptOutcome::ConnectFailed],
        vec![AttemptOutcome::Lost, AttemptOutcome::Lost],
    ] {
        let mut pool = pool(2);
        for outcome in &outcomes {
            assert!(choose(&mut pool, 0).is_some() && choose(&mut pool, 0).is_some());
            pool.end(1_000, "e0", *outcome);
            pool.end(1_000, "e1", AttemptOutcome::Complete);
        }
        assert_eq!(choose(&mut pool, 2_000).as_deref(), Some("e1"));
        assert_eq!(choose(&mut pool, 3_000), None, "{outcomes:?}");
        assert!(!pool.accepts_requests("e0"));
        pool.end(4_000, "e1", AttemptOutcome::Complete);
        assert_eq!(choose(&mut pool, 5_000).as_deref(), Some("e1"));
        // A killed engine that is back is found within seconds, without any news.
        assert_eq!(choose(&mut pool, 3_000_000).as_deref(), Some("e0"));
    }
}

/// Guards against an engine that is taken out of service because of one lost request, whose prompt
/// or connection may be the cause.
#[test]
fn single_lost_request_does_not_take_an_engine_out_of_service() {
    let mut pool = pool(2);
    choose(&mut pool, 0);
    choose(&mut pool, 0);
    pool.end(1_000, "e0", AttemptOutcome::Lost);
    assert_eq!(choose(&mut pool, 2_000).as_deref(), Some("e0"));
    // The second loss comes too late to be of the same moment.
    pool.end(900_000, "e0", AttemptOutcome::Lost);
    assert!(!pool.is_unreachable(900_000, "e0"));
}

/// Guards against a daemon that has lost all of its links and then refuses to try any upstream.
#[test]
fn all_engines_unreachable_are_all_tried() {
    let mut pool = pool(3);
    for index in 0..3 {
        choose(&mut pool, 0);
        pool.end(1_000, &format!("e{index}"), AttemptOutcome::ConnectFailed);
    }
    assert!(choose(&mut pool, 2_000).is_some());
}

/// Guards against an engine that stays out of service after a restart that the list shows.
#[test]
fn restarted_engine_is_in_service_at_once() {
    let mut engines: Vec<_> = (0..2)
        .map(|index| engine(&format!("e{index}"), "costa", "norte"))
        .collect();
    engines[0].started_ms = Some(1);
    let mut pool = Pool::default();
    pool.configure(0, &config(1, &engines));
    choose(&mut pool, 0);
    pool.end(1_000, "e0", AttemptOutcome::ConnectFailed);
    assert!(!pool.accepts_requests("e0"));
    engines[0].started_ms = Some(2);
    pool.configure(2_000, &config(2, &engines));
    assert!(pool.accepts_requests("e0"));
}

/// Guards against requests without another candidate that wait for ever: the one that is avoided
/// and unreachable is taken where it is alone.
#[test]
fn only_engine_is_tried_although_it_is_unreachable() {
    let mut pool = pool(1);
    choose(&mut pool, 0);
    pool.end(1_000, "e0", AttemptOutcome::ConnectFailed);
    let target = model();
    let retry = RouteRequest {
        avoid: Some("e0"),
        ..request(&target)
    };
    assert!(pool.choose(2_000, &retry).is_some());
}
