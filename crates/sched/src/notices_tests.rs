//! Tests of jobs for upstreams that say that they are leaving or want a pause.

use code::Code;

use crate::{
    Action, Dispatcher, JobId, Outcome,
    fixtures::{config, job},
};

const S_US: u64 = 1_000_000;

fn dispatcher() -> (Dispatcher, Vec<Action>) {
    let mut dispatcher = Dispatcher::default();
    let mut actions = Vec::new();
    dispatcher.configure(0, &config(4), &mut actions);
    actions.clear();
    (dispatcher, actions)
}

/// Returns the code and the retry time of each refusal.
fn refusals(actions: &mut Vec<Action>) -> Vec<(u64, Code, u64)> {
    let refused = actions.drain(..).filter_map(|action| match action {
        Action::Refuse {
            id,
            code,
            retry_after_ms,
            ..
        } => Some((id.0, code, retry_after_ms)),
        _ => None,
    });
    refused.collect()
}

fn started(actions: &mut Vec<Action>) -> Vec<(u64, String)> {
    let started = actions.drain(..).filter_map(|action| match action {
        Action::Start { id, upstream, .. } => Some((id.0, upstream.to_string())),
        _ => None,
    });
    started.collect()
}

// Guards against a request that was chosen for an upstream before that asked for a pause being
// refused, or counted against the upstream's health, instead of going elsewhere.
#[test]
fn withheld_request_goes_to_another_upstream() {
    let (mut dispatcher, mut actions) = dispatcher();
    dispatcher.submit(0, job(1, 0), &mut actions);
    let chosen = started(&mut actions).remove(0).1;
    dispatcher.pause_upstream(1, &chosen, None, 5 * S_US, &mut actions);
    let listed = config(4);
    let listed = listed.upstream(&chosen).unwrap();
    assert!(!dispatcher.accepts_attempt(listed));
    dispatcher.finish(2, JobId(1), Outcome::Withheld, &mut actions);
    let next = started(&mut actions).remove(0).1;
    assert_ne!(next, chosen);
    let statuses = dispatcher.upstream_statuses();
    let status = statuses.iter().find(|status| *status.upstream == *chosen);
    assert!(!status.unwrap().ejected);
}

// Guards against requests that are held or refused without a true word on when to return while all
// upstreams pause, and against refusing those that can still be served in time.
#[test]
fn requests_are_refused_with_the_earliest_return_if_all_pause_for_too_long() {
    let (mut dispatcher, mut actions) = dispatcher();
    for name in ["a", "b"] {
        for id in 0..4 {
            dispatcher.submit(0, job(100 + id, 0), &mut actions);
            dispatcher.submit(0, job(200 + id, 0), &mut actions);
        }
        let pause_us = if name == "a" { 3 * S_US } else { 2 * S_US };
        dispatcher.pause_upstream(0, name, None, pause_us, &mut actions);
    }
    actions.clear();
    let mut soon = job(1, 0);
    soon.deadline_us = S_US;
    dispatcher.submit(0, soon, &mut actions);
    assert_eq!(refusals(&mut actions), [(1, Code::NoUpstream, 2_000)]);
    let mut late = job(2, 0);
    late.deadline_us = 5 * S_US;
    dispatcher.submit(0, late.clone(), &mut actions);
    assert_eq!(refusals(&mut actions), []);
    // Both ask for more, so that the one that waits can't be served either.
    for name in ["a", "b"] {
        dispatcher.pause_upstream(S_US, name, None, 9 * S_US, &mut actions);
    }
    assert_eq!(refusals(&mut actions), [(2, Code::NoUpstream, 9_000)]);
}

// Guards against requests that still wait after the pause, and against all starting at once.
#[test]
fn waiting_requests_start_gradually_after_a_pause() {
    let (mut dispatcher, mut actions) = dispatcher();
    for name in ["a", "b"] {
        dispatcher.pause_upstream(0, name, None, S_US, &mut actions);
    }
    for id in 1..=8 {
        let mut job = job(id, 0);
        job.deadline_us = 60 * S_US;
        dispatcher.submit(0, job, &mut actions);
    }
    assert_eq!(started(&mut actions), []);
    let mut count = 0;
    for tick in 1..=400_u64 {
        let now_us = tick * 100_000;
        dispatcher.tick(now_us, &mut actions);
        count += started(&mut actions).len();
        if now_us < S_US {
            assert_eq!(count, 0, "at {now_us} us");
        } else if now_us <= S_US + 300_000 {
            assert!(count <= 2, "{count} at {now_us} us");
        }
    }
    assert_eq!(count, 8);
}

// Guards against work for an upstream that said that it is leaving, while the configuration still
// has it.
#[test]
fn retries_and_new_requests_avoid_an_upstream_that_says_it_leaves() {
    let (mut dispatcher, mut actions) = dispatcher();
    assert!(dispatcher.set_instance_leaving(0, "a", None));
    assert!(!dispatcher.set_instance_leaving(0, "a", None));
    for id in 1..=4 {
        dispatcher.submit(0, job(id, 0), &mut actions);
    }
    dispatcher.configure(1, &config(4), &mut actions);
    dispatcher.finish(2, JobId(1), Outcome::LostBeforeAnswer, &mut actions);
    dispatcher.tick(S_US / 2, &mut actions);
    let started = started(&mut actions);
    assert!(started.len() >= 4, "{started:?}");
    assert!(
        started.iter().all(|(_, upstream)| upstream == "b"),
        "{started:?}"
    );
}
