//! Tests of jobs that wait, arrive or are retried while the daemon stops.

use code::Code;

use crate::{
    Action, Dispatcher, Job, JobId, Outcome,
    fixtures::{config, job},
};

const MS_US: u64 = 1_000;

/// Returns a dispatcher with two engines of one slot each, which are taken.
fn full_dispatcher() -> (Dispatcher, Vec<Action>) {
    let mut dispatcher = Dispatcher::default();
    let mut actions = Vec::new();
    dispatcher.configure(0, &config(1), &mut actions);
    for id in 101..=102 {
        dispatcher.submit(0, long_job(id), &mut actions);
    }
    assert_eq!(started(&mut actions), [101, 102]);
    (dispatcher, actions)
}

fn long_job(id: u64) -> Job {
    let mut job = job(id, 0);
    job.deadline_us = 15_000 * MS_US;
    job
}

fn refused(actions: &mut Vec<Action>) -> Vec<(u64, Code)> {
    let refused = actions.drain(..).filter_map(|action| match action {
        Action::Refuse { id, code, .. } => Some((id.0, code)),
        _ => None,
    });
    refused.collect()
}

fn started(actions: &mut Vec<Action>) -> Vec<u64> {
    let started = actions.drain(..).filter_map(|action| match action {
        Action::Start { id, .. } => Some(id.0),
        _ => None,
    });
    started.collect()
}

/// Makes answers of the class take this long.
fn observe_answers(dispatcher: &mut Dispatcher, answer_us: u64) {
    for _ in 0..50 {
        dispatcher.answer_times.observe(&"any".into(), answer_us);
    }
}

// Guards against requests that wait for a slot until the daemon ends, and are then cut off although
// nothing of them was sent.
#[test]
fn jobs_that_cannot_be_answered_in_time_are_refused_at_once() {
    let (mut dispatcher, mut actions) = full_dispatcher();
    observe_answers(&mut dispatcher, 10_000 * MS_US);
    dispatcher.submit(0, long_job(1), &mut actions);
    actions.clear();
    dispatcher.stop_by(100 * MS_US, 7_100 * MS_US, &mut actions);
    assert_eq!(refused(&mut actions), [(1, Code::Draining)]);
    dispatcher.submit(200 * MS_US, long_job(2), &mut actions);
    assert_eq!(refused(&mut actions), [(2, Code::Draining)]);
    assert_eq!(dispatcher.in_flight(), 2);
}

// Guards against refusing what a stop has time for, and against waiting until its end, where nothing
// tells how long the answers take.
#[test]
fn jobs_of_an_unknown_class_wait_for_half_of_the_stop() {
    let (mut dispatcher, mut actions) = full_dispatcher();
    dispatcher.submit(0, long_job(1), &mut actions);
    actions.clear();
    dispatcher.stop_by(0, 7_000 * MS_US, &mut actions);
    dispatcher.submit(MS_US, long_job(2), &mut actions);
    dispatcher.tick(3_400 * MS_US, &mut actions);
    assert_eq!(refused(&mut actions), []);
    dispatcher.tick(3_600 * MS_US, &mut actions);
    assert_eq!(
        refused(&mut actions),
        [(1, Code::Draining), (2, Code::Draining)]
    );
}

// Guards against sending callers away that find a slot here: the host at which they arrive next may
// stop as well.
#[test]
fn jobs_that_find_a_slot_start_during_a_stop() {
    let (mut dispatcher, mut actions) = full_dispatcher();
    dispatcher.stop_by(0, 7_000 * MS_US, &mut actions);
    dispatcher.finish(MS_US, JobId(101), Outcome::Complete, &mut actions);
    dispatcher.submit(2 * MS_US, long_job(1), &mut actions);
    assert_eq!(started(&mut actions), [1]);
}

// Guards against refusing what can still be answered here, and against waiting beyond the last time
// at which it can.
#[test]
fn jobs_wait_while_their_answer_can_end_in_time() {
    let (mut dispatcher, mut actions) = full_dispatcher();
    observe_answers(&mut dispatcher, 1_000 * MS_US);
    dispatcher.submit(0, long_job(1), &mut actions);
    dispatcher.submit(0, long_job(2), &mut actions);
    actions.clear();
    dispatcher.stop_by(0, 7_000 * MS_US, &mut actions);
    dispatcher.tick(4_000 * MS_US, &mut actions);
    assert_eq!(refused(&mut actions), []);
    dispatcher.finish(4_500 * MS_US, JobId(101), Outcome::Complete, &mut actions);
    assert_eq!(started(&mut actions), [1]);
    dispatcher.tick(6_900 * MS_US, &mut actions);
    assert_eq!(refused(&mut actions), [(2, Code::Draining)]);
}

// Guards against jobs that still wait when the daemon ends.
#[test]
fn the_end_of_a_stop_refuses_all_that_wait() {
    let (mut dispatcher, mut actions) = full_dispatcher();
    observe_answers(&mut dispatcher, MS_US);
    dispatcher.submit(0, long_job(1), &mut actions);
    dispatcher.stop_by(0, 7_000 * MS_US, &mut actions);
    assert_eq!(refused(&mut actions), []);
    dispatcher.stop_by(500 * MS_US, 500 * MS_US, &mut actions);
    assert_eq!(refused(&mut actions), [(1, Code::Draining)]);
}

// Guards against a refusal that says that a request was not run although an attempt of it may have
// been.
#[test]
fn what_may_have_run_is_not_said_to_be_not_run() {
    let (mut dispatcher, mut actions) = full_dispatcher();
    dispatcher.stop_by(0, 100 * MS_US, &mut actions);
    assert_eq!(dispatcher.code_at_stop(JobId(101)), Code::CutByStop);
    let late_us = 60 * MS_US;
    dispatcher.finish(late_us, JobId(101), Outcome::LostBeforeAnswer, &mut actions);
    assert_eq!(refused(&mut actions), [(101, Code::CutByStop)]);
    dispatcher.finish(late_us, JobId(102), Outcome::Rejected, &mut actions);
    assert_eq!(refused(&mut actions), [(102, Code::Draining)]);
}

// Guards against breaking off an answer that has begun and could be resumed until the end.
#[test]
fn answers_that_have_begun_are_resumed_until_the_end() {
    let (mut dispatcher, mut actions) = full_dispatcher();
    let mut resumable = config(1);
    for upstream in &mut resumable.upstreams {
        upstream.honours.resume = true;
    }
    dispatcher.configure(0, &resumable, &mut actions);
    dispatcher.stop_by(0, 1_000 * MS_US, &mut actions);
    dispatcher.record_first_token(MS_US, JobId(101), &mut actions);
    actions.clear();
    let outcome = Outcome::LostMidStream { resumable: true };
    dispatcher.finish(2 * MS_US, JobId(101), outcome, &mut actions);
    assert_eq!(refused(&mut actions), []);
    assert_eq!(dispatcher.code_at_stop(JobId(101)), Code::StreamBroken);
}
