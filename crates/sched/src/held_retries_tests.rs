//! Tests of retries after an engine was lost under its streams.

use code::Code;

use crate::{
    Action, Dispatcher, JobId, Outcome,
    fixtures::{config, job},
};

/// Streams on the engine that is lost, several times what the retry budget allows at once.
const STREAMS: u64 = 12;

const LOST: Outcome = Outcome::LostMidStream { resumable: true };

/// Returns a dispatcher with running streams, and the streams on the engine `a`.
fn streams_on_two_engines(deadline_us: u64) -> (Dispatcher, Vec<JobId>) {
    let mut config = config(64);
    for upstream in &mut config.upstreams {
        upstream.honours.resume = true;
    }
    let (mut dispatcher, mut actions) = (Dispatcher::default(), Vec::new());
    dispatcher.configure(0, &config, &mut actions);
    for id in 1..=2 * STREAMS {
        let mut job = job(id, 1);
        job.deadline_us = deadline_us;
        dispatcher.submit(0, job, &mut actions);
    }
    let on_a = actions.iter().filter_map(|action| match action {
        Action::Start { id, upstream, .. } if **upstream == *"a" => Some(*id),
        _ => None,
    });
    let on_a: Vec<JobId> = on_a.collect();
    for id in 1..=2 * STREAMS {
        dispatcher.record_first_token(1_000, JobId(id), &mut actions);
    }
    (dispatcher, on_a)
}

fn count<F>(actions: &[Action], matches: F) -> usize
where
    F: Fn(&Action) -> bool,
{
    actions.iter().filter(|action| matches(action)).count()
}

/// Guards against an engine killed under its streams that uses up the retry budget, so that the
/// streams are broken off although another engine can go on with them.
#[test]
fn engine_killed_under_streams_breaks_none_off() {
    let (mut dispatcher, on_a) = streams_on_two_engines(60_000_000);
    assert!(on_a.len() > 8, "{on_a:?}");
    let mut actions = Vec::new();
    for &id in &on_a {
        dispatcher.finish(2_000, id, LOST, &mut actions);
    }
    let refused = count(&actions, |action| matches!(action, Action::Refuse { .. }));
    assert_eq!(refused, 0);
    let started = count(&actions, |action| matches!(action, Action::Start { .. }));
    assert!(0 < started && started < on_a.len(), "{started} at once");
    assert!(dispatcher.has_queued(), "the others need ticks");
    let mut started_on_a = Vec::new();
    for now_ms in 3..60_000 {
        let known = actions.len();
        dispatcher.tick(now_ms * 1_000, &mut actions);
        let is_on_a = |action: &Action| matches!(action, Action::Start { upstream, .. } if **upstream == *"a");
        started_on_a.extend(actions[known..].iter().any(is_on_a).then_some(now_ms));
    }
    let started = count(&actions, |action| matches!(action, Action::Start { .. }));
    assert_eq!(started, on_a.len());
    assert!(
        started_on_a.iter().all(|&now_ms| now_ms > 500),
        "back to the lost engine after {started_on_a:?} ms"
    );
    assert!(!dispatcher.has_queued());
}

/// Guards against a held stream that waits past its caller's deadline, or is refused as not run.
#[test]
fn held_stream_is_refused_at_its_deadline() {
    let (mut dispatcher, on_a) = streams_on_two_engines(1_000_000);
    let mut actions = Vec::new();
    for &id in &on_a {
        dispatcher.finish(2_000, id, LOST, &mut actions);
    }
    for now_ms in 3..1_100 {
        dispatcher.tick(now_ms * 1_000, &mut actions);
    }
    let refused = actions.iter().filter_map(|action| match action {
        Action::Refuse { code, .. } => Some(*code),
        _ => None,
    });
    let refused: Vec<Code> = refused.collect();
    let started = count(&actions, |action| matches!(action, Action::Start { .. }));
    assert_eq!(refused.len() + started, on_a.len());
    assert!(refused.iter().all(|&code| code == Code::StreamBroken));
    assert!(!dispatcher.has_queued());
}

/// Guards against a held stream that starts although its caller has left.
#[test]
fn held_stream_of_a_caller_that_left_never_starts() {
    let (mut dispatcher, on_a) = streams_on_two_engines(60_000_000);
    let mut actions = Vec::new();
    for &id in &on_a {
        dispatcher.finish(2_000, id, LOST, &mut actions);
    }
    for &id in &on_a {
        dispatcher.cancel(3_000, id, &mut actions);
    }
    actions.clear();
    for now_ms in 4..20_000 {
        dispatcher.tick(now_ms * 1_000, &mut actions);
    }
    assert_eq!(actions, []);
    assert!(!dispatcher.has_queued());
}

/// Guards against an urgent stream that waits for the budget behind less urgent ones that were lost
/// before it.
#[test]
fn held_urgent_stream_goes_on_first() {
    let mut config = config(64);
    for upstream in &mut config.upstreams {
        upstream.honours.resume = true;
    }
    let (mut dispatcher, mut actions) = (Dispatcher::default(), Vec::new());
    dispatcher.configure(0, &config, &mut actions);
    for id in 1..=STREAMS {
        let mut job = job(id, if id == STREAMS { 0 } else { 2 });
        job.deadline_us = 60_000_000;
        dispatcher.submit(0, job, &mut actions);
        dispatcher.record_first_token(0, JobId(id), &mut actions);
    }
    for id in 1..=STREAMS {
        dispatcher.finish(1_000, JobId(id), LOST, &mut actions);
    }
    actions.clear();
    for now_ms in 2..60_000 {
        dispatcher.tick(now_ms * 1_000, &mut actions);
    }
    let mut started = actions.iter().filter_map(|action| match action {
        Action::Start { id, .. } => Some(*id),
        _ => None,
    });
    assert_eq!(started.next(), Some(JobId(STREAMS)));
}
