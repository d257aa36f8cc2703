use code::{Code, Run, TABLE};
use sched::Outcome;

use crate::exposure::Exposure;

const OUTCOMES: [Outcome; 6] = [
    Outcome::Complete,
    Outcome::NotSent,
    Outcome::Rejected,
    Outcome::LostBeforeAnswer,
    Outcome::LostMidStream { resumable: true },
    Outcome::Failed,
];

/// Guards against a refusal that says "not run" although an earlier attempt may have run, for every
/// code after every pair of attempts.
#[test]
fn holds_refusal_after_any_two_attempts() {
    for first in OUTCOMES {
        for second in OUTCOMES {
            let mut exposure = Exposure::default();
            exposure.add(first);
            exposure.add(second);
            let sent = [first, second]
                .iter()
                .any(|outcome| !matches!(outcome, Outcome::NotSent | Outcome::Rejected));
            for entry in &TABLE {
                let code = exposure.truthful(entry.code);
                assert!(
                    !sent || code.run() != Run::No,
                    "{first:?} {second:?} {code}"
                );
            }
        }
    }
}

/// Guards against a refusal that is made vaguer than what is known.
#[test]
fn unsent_jobs_keep_their_code() {
    let mut exposure = Exposure::default();
    exposure.add(Outcome::NotSent);
    exposure.add(Outcome::Rejected);
    for entry in &TABLE {
        assert_eq!(exposure.truthful(entry.code), entry.code);
    }
}

/// Guards against a preempted attempt that is forgotten.
#[test]
fn holds_refusal_after_a_cancelled_attempt() {
    for (answered, code) in [(false, Code::UpstreamLost), (true, Code::StreamBroken)] {
        let mut exposure = Exposure::default();
        exposure.add_cancelled(answered);
        assert_eq!(exposure.truthful(Code::DeadlinePassed), code);
    }
}
