//! Tests of the refusal of prompts that crash upstreams.

use code::Code;
use quarantine::PromptParts;

use crate::{
    Action, Dispatcher, Job, JobId, Outcome,
    fixtures::{config, job},
};

const S_US: u64 = 1_000_000;

/// Part that crashes upstreams.
const DEADLY: u64 = 9;

fn job_with(id: u64, part: u64) -> Job {
    Job {
        prompt_parts: PromptParts::new([1, part, 1_000 + id]),
        deadline_us: 100 * S_US,
        ..job(id, 1)
    }
}

/// Returns a dispatcher whose engines have one slot each, after three losses of the deadly part.
fn suspecting() -> Dispatcher {
    let mut dispatcher = Dispatcher::default();
    let mut actions = Vec::new();
    dispatcher.configure(0, &config(1), &mut actions);
    dispatcher.submit(0, job_with(1, 8), &mut actions);
    dispatcher.record_first_token(0, JobId(1), &mut actions);
    dispatcher.finish(S_US, JobId(1), Outcome::Complete, &mut actions);
    for crash in 1..=3 {
        let parts = PromptParts::new([1, DEADLY, crash]);
        let quarantine = dispatcher.quarantine_mut();
        quarantine.record_loss(S_US + crash * S_US, 0, &crash.to_string(), &parts);
    }
    dispatcher.quarantine_mut().tick(4 * S_US);
    dispatcher
}

fn quarantine(dispatcher: &mut Dispatcher, actions: &mut Vec<Action>) {
    dispatcher.quarantine_mut().tick(6 * S_US);
    dispatcher.refuse_quarantined(6 * S_US, actions);
}

fn refusals(actions: &[Action]) -> Vec<(u64, Code)> {
    let refusals = actions.iter().filter_map(|action| match action {
        Action::Refuse { id, code, .. } => Some((id.0, *code)),
        _ => None,
    });
    refusals.collect()
}

/// Guards against new and queued jobs with a quarantined part that are sent, and against sound ones
/// with the other parts that are refused.
#[test]
fn jobs_with_a_quarantined_part_are_refused() {
    let mut dispatcher = suspecting();
    let mut actions = Vec::new();
    // Two run, three wait.
    for (id, part) in [(10, 8), (11, 8), (12, DEADLY), (13, 8), (14, DEADLY)] {
        dispatcher.submit(5 * S_US, job_with(id, part), &mut actions);
    }
    assert_eq!(refusals(&actions), []);
    quarantine(&mut dispatcher, &mut actions);
    dispatcher.submit(6 * S_US, job_with(15, DEADLY), &mut actions);
    dispatcher.submit(6 * S_US, job_with(16, 8), &mut actions);
    let code = Code::PromptQuarantined;
    assert_eq!(refusals(&actions), [(12, code), (14, code), (15, code)]);
}

/// Guards against a retry of a job with a quarantined part, and against telling its caller that it
/// did not run.
#[test]
fn lost_job_with_a_quarantined_part_is_not_retried() {
    let mut dispatcher = suspecting();
    let mut actions = Vec::new();
    dispatcher.submit(5 * S_US, job_with(10, DEADLY), &mut actions);
    dispatcher.submit(5 * S_US, job_with(11, DEADLY), &mut actions);
    quarantine(&mut dispatcher, &mut actions);
    dispatcher.finish(6 * S_US, JobId(10), Outcome::LostBeforeAnswer, &mut actions);
    // Nothing of this one was sent.
    dispatcher.finish(6 * S_US, JobId(11), Outcome::NotSent, &mut actions);
    let expected = [(10, Code::UpstreamLost), (11, Code::PromptQuarantined)];
    assert_eq!(refusals(&actions), expected);
}

/// Guards against callers that are told to come back while requests with the part are still refused,
/// whether theirs is new, queued or was lost.
#[test]
fn callers_are_told_when_a_part_is_tried_again() {
    let mut dispatcher = suspecting();
    let mut actions = Vec::new();
    for (id, part) in [(10, DEADLY), (11, 8), (12, DEADLY)] {
        dispatcher.submit(5 * S_US, job_with(id, part), &mut actions);
    }
    quarantine(&mut dispatcher, &mut actions);
    dispatcher.submit(6 * S_US, job_with(13, DEADLY), &mut actions);
    dispatcher.finish(6 * S_US, JobId(10), Outcome::NotSent, &mut actions);
    let told = actions.iter().filter_map(|action| match action {
        Action::Refuse {
            id, retry_after_ms, ..
        } => Some((id.0, *retry_after_ms)),
        _ => None,
    });
    let told: Vec<(u64, u64)> = told.collect();
    assert_eq!(told, [(12, 60_000), (13, 60_000), (10, 60_000)]);
}

/// Guards against a stream that is lost after it began being held against its prompt, and one that
/// is lost as it begins not being held against it.
#[test]
fn only_losses_before_or_at_the_first_token_are_evidence() {
    let cases = [(0, 1), (50_000, 1), (200_000, 0)];
    for (after_us, expected) in cases {
        let mut dispatcher = Dispatcher::default();
        let mut actions = Vec::new();
        dispatcher.configure(0, &config(1), &mut actions);
        for crash in 1..=3 {
            let begun_us = crash * 10 * S_US;
            dispatcher.submit(begun_us - 1, job_with(crash, DEADLY), &mut actions);
            dispatcher.record_first_token(begun_us, JobId(crash), &mut actions);
            let outcome = Outcome::LostMidStream { resumable: false };
            dispatcher.finish(begun_us + after_us, JobId(crash), outcome, &mut actions);
        }
        dispatcher.quarantine_mut().tick(31 * S_US);
        let parts = dispatcher.quarantine().parts(31 * S_US);
        assert_eq!(parts.len(), expected, "{after_us} us");
    }
}
