//! Tests of upstreams that can't be reached.

use health::{Complaint, Message, Symptom};
use xxhash_rust::xxh3::xxh3_64;

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

/// Returns a complaint of another daemon about engines, as far as their present instances go.
fn complaint(names: &[String], symptom: Symptom, started_ms: u64) -> Message {
    let complaints = names.iter().map(|name| Complaint {
        upstream: xxh3_64(name.as_bytes()),
        started_ms,
        symptom,
        age_ms: 0,
        silent_ms: 0,
    });
    Message {
        contacts: 100,
        complaints: complaints.collect(),
    }
}

fn names(count: usize) -> Vec<String> {
    (0..count).map(|index| format!("e{index}")).collect()
}

/// Guards against sending to an engine that another daemon has found dead, until an own connection
/// fails.
#[test]
fn engine_dark_for_others_gets_nothing() {
    let mut pool = pool(3);
    let dead = complaint(&names(1), Symptom::Refused, 0);
    let down = pool.receive_complaints(1_000, "other", &dead);
    assert_eq!(down.len(), 1);
    for _ in 0..2 {
        assert_ne!(choose(&mut pool, 2_000).as_deref(), Some("e0"));
    }
    assert_eq!(choose(&mut pool, 3_000), None, "the others are full");
    assert_eq!(
        choose(&mut pool, 3_500_000).as_deref(),
        Some("e0"),
        "lapsed"
    );
}

/// Guards against complaints that empty the pool: they take out a third at most, and own events go
/// before them.
#[test]
fn complaints_of_a_cut_off_half_leave_most_engines_in_service() {
    let mut pool = pool(9);
    let now_us = 10_000_000;
    pool.record_first_token(now_us, "e0", 1_000, 10);
    for reporter in ["a", "b", "c", "d", "e"] {
        let told = complaint(&names(9), Symptom::Silent, 0);
        pool.receive_complaints(now_us, reporter, &told);
    }
    let in_service = names(9)
        .into_iter()
        .filter(|name| pool.accepts_requests(name));
    assert!(in_service.count() >= 6);
    pool.record_first_token(now_us + 300_000, "e0", 1_000, 10);
    assert!(pool.accepts_requests("e0"), "it has answered since");
}

/// Guards against a release that replaces all engines one after the other, and leaves each new
/// instance out of service because of complaints about the old one.
#[test]
fn release_that_replaces_all_engines_one_after_the_other() {
    let mut engines: Vec<_> = names(6)
        .iter()
        .map(|name| engine(name, "costa", "norte"))
        .collect();
    for engine in &mut engines {
        engine.started_ms = Some(1);
    }
    let mut pool = Pool::default();
    pool.configure(0, &config(1, &engines));
    for (index, version) in (0..6).zip(2..) {
        let now_us = version * 1_000_000;
        let name = [format!("e{index}")];
        let told = complaint(&name, Symptom::Refused, 1);
        assert_eq!(pool.receive_complaints(now_us, "other", &told).len(), 1);
        assert!(choose(&mut pool, now_us).is_some());
        engines[index].started_ms = Some(2);
        pool.configure(now_us + 100_000, &config(version, &engines));
        assert!(pool.accepts_requests(&name[0]));
        pool.receive_complaints(now_us + 200_000, "late", &told);
        assert!(pool.accepts_requests(&name[0]), "about the old instance");
    }
}

/// Guards against streams whose engine is killed, of which the other daemons hear nothing: several
/// that are lost at the same moment are told, a single one is not.
#[test]
fn engine_killed_under_streams_is_told_to_the_others() {
    let mut pool = pool(1);
    let target = model();
    pool.choose(1_000, &request(&target));
    pool.end(2_000, "e0", AttemptOutcome::Lost);
    assert!(!pool.has_complaints());
    pool.choose(2_000, &request(&target));
    pool.end(3_000, "e0", AttemptOutcome::Lost);
    let told = pool.take_complaints(4_000).unwrap();
    assert_eq!(told.complaints[0].symptom, Symptom::Cut);
    assert_eq!(pool.take_complaints(5_000), None);
}
