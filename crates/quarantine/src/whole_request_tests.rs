//! Tests of the quarantine of whole requests.

use std::sync::Arc;

use proptest::{collection::vec, prelude::*};
use rand::{SeedableRng as _, rngs::StdRng};

use crate::{Admission, Message, PromptParts, Quarantine, Verdict, VerdictState};

const MS_US: u64 = 1_000;
const S_US: u64 = 1_000_000;

/// Fingerprint of the request that crashes upstreams.
const DEADLY: u64 = 77;

/// Largest number of upstreams that may end under one request before it is held back.
const CRASHES_MAX: u64 = 3;

/// Returns a request of a plain service, which has no prompt.
fn plain(request: u64) -> PromptParts {
    PromptParts::default().with_request(request)
}

fn lose(daemon: &mut Quarantine, now_us: u64, crash: u64, parts: &PromptParts) {
    daemon.record_loss(now_us, 0, &format!("engine-{crash}"), parts);
}

fn is_admitted(daemon: &mut Quarantine, now_us: u64, parts: &PromptParts) -> bool {
    daemon.admit(now_us, parts) == Admission::Admitted
}

/// Guards against a request that is sent to one upstream after the other, each of which ends under
/// it, and against sound requests with the same prompt that are refused.
#[test]
fn repeated_request_is_held_back_after_three_crashes() {
    let mut daemon = Quarantine::new("a");
    let deadly = PromptParts::new([1, 9, 5]).with_request(DEADLY);
    let mut sent = 0;
    for crash in 0..20 {
        let now_us = S_US + crash * MS_US;
        if is_admitted(&mut daemon, now_us, &deadly) {
            sent += 1;
            lose(&mut daemon, now_us, crash, &deadly);
        }
    }
    assert_eq!(sent, CRASHES_MAX);
    let sound = PromptParts::new([1, 9, 6]).with_request(78);
    assert!(is_admitted(&mut daemon, 2 * S_US, &sound));
    daemon.tick(3 * S_US);
    let held = daemon.parts(3 * S_US);
    assert_eq!(held.len(), 1);
    assert!(held[0].is_request && held[0].state == VerdictState::Quarantined);
    assert_eq!(held[0].evidence.len(), 3);
}

/// Guards against upstreams that fail at the same moment convicting the requests that they ran.
#[test]
fn upstreams_that_fail_together_convict_no_request() {
    let mut daemon = Quarantine::new("a");
    for crash in 0..10 {
        daemon.record_loss(S_US, S_US / 2, &format!("engine-{crash}"), &plain(DEADLY));
    }
    assert!(is_admitted(&mut daemon, S_US, &plain(DEADLY)));
}

/// Guards against a popular request that is held back because some of its answers were lost, while
/// others are answered.
#[test]
fn answered_request_is_not_held_back() {
    let mut daemon = Quarantine::new("a");
    for crash in 0..20 {
        let now_us = S_US + crash * 100 * MS_US;
        daemon.record_answer(now_us, &plain(DEADLY));
        lose(&mut daemon, now_us + MS_US, crash, &plain(DEADLY));
        assert!(is_admitted(&mut daemon, now_us + MS_US, &plain(DEADLY)));
    }
}

/// Guards against an answer at one daemon that doesn't free a request which others hold back.
#[test]
fn answer_elsewhere_frees_a_request() {
    let mut losing = Quarantine::new("a");
    let mut answering = Quarantine::new("b");
    answering.record_answer(S_US, &plain(DEADLY));
    for crash in 0..3 {
        lose(&mut losing, 2 * S_US + crash, crash, &plain(DEADLY));
    }
    assert!(!is_admitted(&mut losing, 3 * S_US, &plain(DEADLY)));
    let verdicts = held_verdicts(&mut losing, 2 * S_US);
    answering.receive(2 * S_US, &verdicts);
    assert!(is_admitted(&mut answering, 2 * S_US, &plain(DEADLY)));
    let verdicts = held_verdicts(&mut answering, 2 * S_US);
    losing.receive(2 * S_US, &verdicts);
    assert!(is_admitted(&mut losing, 2 * S_US, &plain(DEADLY)));
}

fn held_verdicts(daemon: &mut Quarantine, now_us: u64) -> Message {
    daemon.set_live(vec!["other".into()]);
    let messages = daemon.take_messages(now_us, &mut StdRng::seed_from_u64(1));
    let mut messages = messages.into_iter().map(|(_, message)| message);
    messages
        .find(|message| matches!(message, Message::Verdicts(_)))
        .expect("a changed verdict is passed on")
}

/// Guards against a held request that stays so for good, and against a trial by every daemon.
#[test]
fn trial_frees_a_request_that_is_sound_again() {
    let mut daemon = Quarantine::new("a");
    for crash in 0..3 {
        lose(&mut daemon, S_US + crash, crash, &plain(DEADLY));
    }
    daemon.tick(3 * S_US);
    let now_us = 70 * S_US;
    let admission = daemon.admit(now_us, &plain(DEADLY));
    assert_eq!(admission, Admission::Trial { part: DEADLY });
    assert!(!is_admitted(&mut daemon, now_us, &plain(DEADLY)));
    daemon.record_answer(now_us + S_US, &plain(DEADLY));
    assert!(is_admitted(&mut daemon, now_us + S_US, &plain(DEADLY)));
}

/// Guards against a held request whose trial never comes because it arrives at one daemon only.
#[test]
fn any_daemon_tries_a_request_in_the_end() {
    let names = ["a", "b", "c"];
    for name in names {
        let mut daemon = Quarantine::new(name);
        let others = names.into_iter().filter(|other| *other != name);
        daemon.set_live(others.map(Arc::from).collect());
        for crash in 0..3 {
            lose(&mut daemon, S_US + crash, crash, &plain(DEADLY));
        }
        daemon.tick(3 * S_US);
        let admission = daemon.admit(190 * S_US, &plain(DEADLY));
        assert_eq!(admission, Admission::Trial { part: DEADLY }, "{name}");
    }
}

/// Guards against requests that stay held back after an operator has released the part that they
/// were lost with.
#[test]
fn release_of_a_part_releases_its_requests() {
    let mut daemon = Quarantine::new("a");
    let request = |own| PromptParts::new([1, 9, own]).with_request(own);
    for own in 50..54 {
        for crash in 0..3 {
            let now_us = (own - 49) * S_US + crash * 100 * MS_US;
            lose(&mut daemon, now_us, own * 10 + crash, &request(own));
        }
    }
    for second in 6..9 {
        daemon.tick(second * S_US);
    }
    let held = daemon.parts(9 * S_US);
    let part = held.iter().find(|held| !held.is_request);
    let part = part.expect("the part that the requests share is held").part;
    assert!(held.iter().any(|held| held.is_request));
    assert!(daemon.release(9 * S_US, part));
    assert!(daemon.parts(9 * S_US).is_empty());
}

/// Guards against losses from before a release that hold the request back again, because a daemon
/// reads them in the row or is told them late.
#[test]
fn losses_before_a_release_do_not_count() {
    let mut daemon = Quarantine::new("a");
    for crash in 0..3 {
        lose(&mut daemon, S_US + crash, crash, &plain(DEADLY));
    }
    let snapshot = daemon.snapshot(2 * S_US, 2_000);
    assert!(daemon.release(2 * S_US, DEADLY));
    daemon.restore(3 * S_US, 3_000, &snapshot);
    daemon.tick(6 * S_US);
    assert!(is_admitted(&mut daemon, 6 * S_US, &plain(DEADLY)));
}

/// Guards against a verdict with the highest number of changes, which nothing prevails over.
#[test]
fn verdict_of_the_highest_epoch_yields_to_an_answer() {
    let mut daemon = Quarantine::new("a");
    let verdict = Verdict {
        part: DEADLY,
        is_request: true,
        epoch: u32::MAX,
        state: VerdictState::Quarantined,
        crashes: u32::MAX,
        failed_trials: u32::MAX,
        age_ms: 0,
    };
    daemon.receive(S_US, &Message::Verdicts(vec![verdict]));
    assert!(!is_admitted(&mut daemon, S_US, &plain(DEADLY)));
    daemon.record_answer(2 * S_US, &plain(DEADLY));
    assert!(is_admitted(&mut daemon, 2 * S_US, &plain(DEADLY)));
}

/// Guards against an operator's release that doesn't hold.
#[test]
fn operator_releases_a_request() {
    let mut daemon = Quarantine::new("a");
    for crash in 0..3 {
        lose(&mut daemon, S_US + crash, crash, &plain(DEADLY));
    }
    assert!(daemon.release(2 * S_US, DEADLY));
    assert!(is_admitted(&mut daemon, 2 * S_US, &plain(DEADLY)));
    lose(&mut daemon, 3 * S_US, 7, &plain(DEADLY));
    daemon.tick(5 * S_US);
    assert!(is_admitted(&mut daemon, 5 * S_US, &plain(DEADLY)));
}

/// Guards against evidence that is lost when all daemons end.
#[test]
fn evidence_survives_the_end_of_all_daemons() {
    let mut before = Quarantine::new("a");
    for crash in 0..2 {
        lose(&mut before, S_US + crash, crash, &plain(DEADLY));
    }
    let snapshot = before.snapshot(2 * S_US, 2_000);
    let mut after = Quarantine::new("a");
    after.restore(S_US, 3_000, &snapshot);
    lose(&mut after, 2 * S_US, 2, &plain(DEADLY));
    assert!(!is_admitted(&mut after, 2 * S_US, &plain(DEADLY)));
}

/// Guards against a forged verdict about a sound request that outlives the next answer to it.
#[test]
fn forged_verdict_yields_to_an_answer() {
    let mut daemon = Quarantine::new("a");
    daemon.record_answer(S_US, &plain(DEADLY));
    let verdict = Verdict {
        part: DEADLY,
        is_request: true,
        epoch: 1,
        state: VerdictState::Quarantined,
        crashes: 9,
        failed_trials: 9,
        age_ms: 0,
    };
    daemon.receive(2 * S_US, &Message::Verdicts(vec![verdict]));
    assert!(is_admitted(&mut daemon, 2 * S_US, &plain(DEADLY)));
}

/// Guards against a flood of different requests that drives out the one that is held back.
#[test]
fn many_different_requests_hide_nothing() {
    let mut daemon = Quarantine::new("a");
    for crash in 0..3 {
        lose(&mut daemon, S_US + crash, crash, &plain(DEADLY));
    }
    for request in 0..5_000 {
        let now_us = 2 * S_US + request;
        lose(&mut daemon, now_us, request, &plain(1_000 + request));
    }
    assert!(!is_admitted(&mut daemon, 4 * S_US, &plain(DEADLY)));
}

#[derive(Debug, Clone)]
enum Event {
    Send { daemon: usize, request: u64 },
    Exchange { daemon: usize, lost: bool },
    Wait { ms: u64 },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (0..3_usize, 0..4_u64).prop_map(|(daemon, request)| Event::Send { daemon, request }),
        4 => (0..3_usize, any::<bool>()).prop_map(|(daemon, lost)| Event::Exchange { daemon, lost }),
        2 => (1..800_u64).prop_map(|ms| Event::Wait { ms }),
    ]
}

proptest! {
    /// Guards against a deadly request that one daemon sends more than three times, and against a
    /// sound one that is ever held back. The oracle: request 0 ends each upstream that gets it, the
    /// others never do.
    #[test]
    fn only_the_deadly_request_is_held_back(events in vec(event(), 1..300)) {
        let names = ["a", "b", "c"];
        let mut daemons = names.map(|name| {
            let mut daemon = Quarantine::new(name);
            let others = names.into_iter().filter(|other| *other != name);
            daemon.set_live(others.map(Arc::from).collect());
            daemon
        });
        let mut rng = StdRng::seed_from_u64(1);
        let (mut now_us, mut crashes) = (S_US, [0_u64; 3]);
        for event in events {
            match event {
                Event::Send { daemon, request } => {
                    now_us += MS_US;
                    let parts = plain(1_000 + request);
                    let admitted = is_admitted(&mut daemons[daemon], now_us, &parts);
                    prop_assert!(admitted || request == 0);
                    if admitted && request == 0 {
                        crashes[daemon] += 1;
                        let upstream = crashes.iter().sum();
                        lose(&mut daemons[daemon], now_us, upstream, &parts);
                        prop_assert!(crashes[daemon] <= CRASHES_MAX);
                    } else if admitted {
                        daemons[daemon].record_answer(now_us, &parts);
                    }
                }
                Event::Exchange { daemon, lost } => {
                    daemons[daemon].tick(now_us);
                    for (to, message) in daemons[daemon].take_messages(now_us, &mut rng) {
                        let to = names.iter().position(|name| *name == &*to).unwrap();
                        if !lost {
                            let replies = daemons[to].receive(now_us, &message);
                            for reply in replies {
                                daemons[daemon].receive(now_us, &reply);
                            }
                        }
                    }
                }
                Event::Wait { ms } => now_us += ms * MS_US,
            }
        }
    }
}
