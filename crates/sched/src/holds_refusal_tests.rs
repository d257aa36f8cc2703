//! Property: the code of a refusal agrees with whether an attempt may have run.

use code::Run;
use settings::Config;

use crate::{
    Action, Dispatcher, JobId, Outcome,
    fixtures::{config, job},
};

const ID: JobId = JobId(1);

const OUTCOMES: [Outcome; 7] = [
    Outcome::NotSent,
    Outcome::Withheld,
    Outcome::Rejected,
    Outcome::LostBeforeAnswer,
    Outcome::LostMidStream { resumable: true },
    Outcome::LostMidStream { resumable: false },
    Outcome::Failed,
];

/// Returns a configuration with three engines of one slot each that can continue partial answers.
fn resuming_config() -> Config {
    let mut config = config(1);
    let mut third = config.upstreams[0].clone();
    "c".clone_into(&mut third.name);
    config.upstreams.push(third);
    for upstream in &mut config.upstreams {
        upstream.honours.resume = true;
    }
    config
}

/// Ends up to two attempts, then lets the deadline pass.
///
/// Returns what the code of the refusal says, and whether an attempt may have run.
fn refused_run(idempotent: bool, outcomes: &[Outcome]) -> (Run, bool) {
    let mut dispatcher = Dispatcher::default();
    let mut actions = Vec::new();
    dispatcher.configure(0, &resuming_config(), &mut actions);
    let mut job = job(ID.0, 0);
    job.idempotent = idempotent;
    dispatcher.submit(0, job, &mut actions);
    let mut may_have_run = false;
    for (now_us, &outcome) in (1..).zip(outcomes) {
        let started = actions
            .drain(..)
            .any(|action| matches!(action, Action::Start { .. }));
        if !started {
            break;
        }
        may_have_run |= !matches!(
            outcome,
            Outcome::NotSent | Outcome::Withheld | Outcome::Rejected
        );
        if matches!(outcome, Outcome::LostMidStream { .. }) {
            dispatcher.record_first_token(now_us, ID, &mut actions);
        }
        if now_us == outcomes.len() as u64 {
            // No further attempt can start, so that the deadline ends the job.
            for upstream in ["a", "b", "c"] {
                dispatcher.set_share(now_us, upstream, Some(0), &mut actions);
            }
        }
        dispatcher.finish(now_us, ID, outcome, &mut actions);
        if actions
            .iter()
            .any(|action| matches!(action, Action::Refuse { .. }))
        {
            break;
        }
    }
    dispatcher.tick(u64::MAX / 2, &mut actions);
    let code = actions.iter().find_map(|action| match action {
        Action::Refuse { code, .. } => Some(*code),
        _ => None,
    });
    (code.expect("the job ends").run(), may_have_run)
}

/// Guards against a refusal that says "not run" although one of two attempts may have run, and
/// against one that says "may have run" although nothing was sent.
#[test]
fn holds_refusal_after_any_two_attempts() {
    for idempotent in [true, false] {
        for first in OUTCOMES {
            for second in OUTCOMES {
                let (run, may_have_run) = refused_run(idempotent, &[first, second]);
                assert_eq!(
                    run != Run::No,
                    may_have_run,
                    "{idempotent} {first:?} {second:?}"
                );
            }
        }
    }
}
