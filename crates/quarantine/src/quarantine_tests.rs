//! Tests of one daemon's quarantine.

use rand::{SeedableRng as _, rngs::StdRng};

use crate::{Admission, LossReport, Message, PromptParts, Quarantine, Verdict, VerdictState};

const S_US: u64 = 1_000_000;

/// Time at which `quarantined` has quarantined its part.
const QUARANTINED_US: u64 = 5 * S_US;

fn request(own: u64) -> PromptParts {
    PromptParts::new([1, 9, own])
}

/// Returns a daemon on which part 9 was quarantined after three crashes.
fn quarantined() -> Quarantine {
    let mut quarantine = Quarantine::new("a");
    quarantine.record_answer(0, &PromptParts::new([1, 500]));
    for crash in 1..=3 {
        quarantine.record_loss(crash * S_US, 0, &format!("engine-{crash}"), &request(crash));
    }
    quarantine.tick(3 * S_US);
    quarantine.tick(4 * S_US);
    assert_eq!(quarantine.quarantined_part(&request(0)), Some(9));
    quarantine
}

fn is_admitted(quarantine: &mut Quarantine, now_us: u64) -> bool {
    quarantine.admit(now_us, &request(700)) == Admission::Admitted
}

/// Guards against a part that is quarantined at once, before another daemon can clear it, and
/// against requests without it that are refused.
#[test]
fn part_is_suspected_before_it_is_quarantined() {
    let mut quarantine = Quarantine::new("a");
    quarantine.record_answer(0, &PromptParts::new([1, 500]));
    for crash in 1..=3 {
        quarantine.record_loss(crash * S_US, 0, &format!("engine-{crash}"), &request(crash));
    }
    quarantine.tick(3 * S_US);
    assert!(is_admitted(&mut quarantine, 3 * S_US));
    assert_eq!(quarantine.parts(3 * S_US)[0].state, VerdictState::Suspected);
    quarantine.tick(4 * S_US);
    let refused = quarantine.admit(4 * S_US, &request(700));
    assert!(
        matches!(refused, Admission::Refused { part: 9, retry_after_ms } if retry_after_ms >= 5_000)
    );
    let sound = PromptParts::new([1, 701]);
    assert_eq!(quarantine.admit(4 * S_US, &sound), Admission::Admitted);
}

/// Guards against a part that stays suspected or quarantined although an answer to it has begun.
#[test]
fn answer_clears_a_part() {
    let mut quarantine = quarantined();
    quarantine.record_answer(QUARANTINED_US, &request(600));
    assert!(is_admitted(&mut quarantine, QUARANTINED_US));
    quarantine.tick(QUARANTINED_US + 2 * S_US);
    assert!(is_admitted(&mut quarantine, QUARANTINED_US + 2 * S_US));
}

/// Guards against a part that another daemon suspects although this one has seen it answered, and
/// against one old answer that clears it again and again.
#[test]
fn earlier_answer_clears_a_suspected_part_once() {
    let mut quarantine = Quarantine::new("a");
    quarantine.record_answer(S_US, &request(600));
    let suspected = |epoch| {
        let state = VerdictState::Suspected;
        Verdict {
            part: 9,
            is_request: false,
            epoch,
            state,
            crashes: 3,
            failed_trials: 0,
            age_ms: 0,
        }
    };
    quarantine.receive(2 * S_US, &Message::Verdicts(vec![suspected(1)]));
    assert!(quarantine.parts(2 * S_US).is_empty());
    quarantine.receive(3 * S_US, &Message::Verdicts(vec![suspected(3)]));
    assert_eq!(quarantine.parts(3 * S_US).len(), 1);
}

/// Guards against a part that never comes back: a trial is let through by one daemon, at growing
/// intervals, and its answer releases the part.
#[test]
fn trial_after_a_time_releases_or_keeps_a_part() {
    let mut quarantine = quarantined();
    let first_us = 64 * S_US;
    assert!(!is_admitted(&mut quarantine, first_us - 1));
    assert_eq!(
        quarantine.admit(first_us, &request(701)),
        Admission::Trial { part: 9 }
    );
    // A second request does not join the trial.
    let second = quarantine.admit(first_us + 1, &request(702));
    assert!(matches!(second, Admission::Refused { .. }));
    quarantine.record_loss(first_us + S_US, 0, "engine-7", &request(701));
    let second_us = first_us + S_US + 120 * S_US;
    let early = quarantine.admit(second_us - 1, &request(703));
    assert!(matches!(early, Admission::Refused { .. }));
    assert_eq!(
        quarantine.admit(second_us, &request(704)),
        Admission::Trial { part: 9 }
    );
    quarantine.record_answer(second_us + S_US, &request(704));
    assert!(is_admitted(&mut quarantine, second_us + 2 * S_US));
}

/// Guards against several daemons that try the same part.
#[test]
fn only_one_daemon_tries_a_part() {
    let names = ["a", "b", "c", "d"];
    let tried = names.iter().filter(|name| {
        let mut quarantine = Quarantine::new(name);
        let others = names.iter().filter(|other| other != name);
        quarantine.set_live(others.map(|&other| other.into()).collect());
        let state = VerdictState::Quarantined;
        let verdict = Verdict {
            part: 9,
            is_request: false,
            epoch: 2,
            state,
            crashes: 3,
            failed_trials: 0,
            age_ms: 0,
        };
        quarantine.receive(S_US, &Message::Verdicts(vec![verdict]));
        let admission = quarantine.admit(100 * S_US, &request(1));
        admission == Admission::Trial { part: 9 }
    });
    assert_eq!(tried.count(), 1);
}

/// Guards against a part that is held back without an operator being able to see why.
#[test]
fn operator_sees_the_crashes_of_a_part() {
    let quarantine = quarantined();
    let held = quarantine.parts(QUARANTINED_US);
    assert_eq!(held.len(), 1);
    let evidence = held[0].evidence.iter();
    let seen: Vec<_> = evidence
        .map(|crash| (crash.age_ms, &crash.requests[..]))
        .collect();
    let expected: [(u64, &[u64]); 3] = [(2_000, &[3]), (3_000, &[2]), (4_000, &[1])];
    assert_eq!(seen, expected);
}

/// Guards against an operator who can't release a part, or whose release doesn't last.
#[test]
fn operator_releases_a_part() {
    let mut quarantine = quarantined();
    assert!(quarantine.release(QUARANTINED_US, 9));
    assert!(!quarantine.release(QUARANTINED_US, 9));
    quarantine.tick(QUARANTINED_US + 5 * S_US);
    assert!(is_admitted(&mut quarantine, QUARANTINED_US + 5 * S_US));
}

/// Guards against the release of a part that puts another part of the same requests in its place,
/// as soon as one more of these requests is reported lost.
#[test]
fn release_of_a_part_blames_no_other() {
    let request = |own| PromptParts::new([8, 9, own]);
    let late_report = Message::Losses(vec![LossReport {
        upstream: 7,
        age_ms: 2_100,
        parts: vec![8, 9],
        own: 4,
        request: 0,
        ran_ms: 0,
    }]);
    let mut releasing = Quarantine::new("a");
    let mut other = Quarantine::new("b");
    for crash in 1..=3 {
        for daemon in [&mut releasing, &mut other] {
            daemon.record_loss(crash * S_US, 0, &format!("engine-{crash}"), &request(crash));
        }
    }
    for daemon in [&mut releasing, &mut other] {
        daemon.set_live(vec!["a".into(), "b".into()]);
        daemon.tick(3 * S_US);
        daemon.tick(4 * S_US);
        assert_eq!(daemon.quarantined_part(&request(0)), Some(9));
    }
    assert!(releasing.release(QUARANTINED_US, 9));
    let mut rng = StdRng::seed_from_u64(1);
    for (_, message) in releasing.take_messages(QUARANTINED_US, &mut rng) {
        other.receive(QUARANTINED_US, &message);
    }
    for daemon in [&mut releasing, &mut other] {
        daemon.receive(QUARANTINED_US + S_US, &late_report);
        for second in 1..=3 {
            daemon.tick(QUARANTINED_US + second * S_US);
            assert_eq!(daemon.parts(QUARANTINED_US + second * S_US), []);
        }
    }
}

/// Guards against a released part that crashes upstreams on and is never held back again.
#[test]
fn released_part_is_quarantined_by_new_crashes() {
    let mut quarantine = quarantined();
    assert!(quarantine.release(QUARANTINED_US, 9));
    for crash in 6..=8 {
        assert!(is_admitted(&mut quarantine, crash * S_US));
        quarantine.record_loss(crash * S_US, 0, &format!("engine-{crash}"), &request(crash));
        quarantine.tick(crash * S_US);
    }
    quarantine.tick(9 * S_US);
    assert_eq!(quarantine.quarantined_part(&request(0)), Some(9));
}

/// Guards against a daemon that starts, or was cut off, and never learns what the others know.
#[test]
fn daemon_that_starts_learns_the_verdicts() {
    let mut old = quarantined();
    let mut new = Quarantine::new("b");
    new.set_live(vec!["a".into()]);
    new.catch_up(QUARANTINED_US);
    let messages = new.take_messages(QUARANTINED_US, &mut StdRng::seed_from_u64(1));
    assert_eq!(messages.len(), 1);
    for reply in old.receive(QUARANTINED_US, &messages[0].1) {
        new.receive(QUARANTINED_US, &reply);
    }
    assert!(!is_admitted(&mut new, QUARANTINED_US));
}

/// Guards against evidence without bounds.
#[test]
fn memory_is_bounded() {
    let mut quarantine = Quarantine::new("a");
    for number in 0..200_000 {
        let parts = PromptParts::new([number, number + 1, number + 2]).with_request(number + 1);
        quarantine.record_answer(number, &parts);
        quarantine.record_loss(number * 1_000, 0, &number.to_string(), &parts);
        let report = LossReport {
            upstream: number,
            age_ms: 0,
            parts: vec![number; 40],
            own: 0,
            request: number + 3,
            ran_ms: 0,
        };
        quarantine.receive(number, &Message::Losses(vec![report]));
    }
    quarantine.tick(200_000_000);
    assert!(quarantine.parts(0).len() <= 512);
    quarantine.set_live(vec!["b".into()]);
    let messages = quarantine.take_messages(200_000_000, &mut StdRng::seed_from_u64(1));
    assert!(messages.len() < 20, "{}", messages.len());
}

/// Guards against a message that no datagram can carry.
#[test]
fn messages_fit_into_a_datagram() {
    let report = LossReport {
        upstream: u64::MAX,
        age_ms: u32::MAX,
        parts: vec![u64::MAX; LossReport::PARTS_MAX],
        own: u64::MAX,
        request: u64::MAX,
        ran_ms: u32::MAX,
    };
    let verdict = Verdict {
        part: u64::MAX,
        is_request: false,
        epoch: u32::MAX,
        state: VerdictState::Cleared,
        crashes: u32::MAX,
        failed_trials: u32::MAX,
        age_ms: u32::MAX,
    };
    let largest = [
        Message::Losses(vec![report; Message::LOSSES_MAX]),
        Message::Verdicts(vec![verdict; Message::VERDICTS_MAX]),
    ];
    for message in largest {
        assert!(postcard::to_stdvec(&message).unwrap().len() <= 790);
    }
}

/// Guards against a part of a long prompt that is never suspected because of its position.
#[test]
fn deadly_part_of_a_long_prompt_is_found() {
    for position in [0, 10, 20, 59] {
        let prompt = |own: u64| {
            let mut parts: Vec<u64> = (100..160).collect();
            parts.insert(position, 9);
            parts.push(own);
            PromptParts::new(parts)
        };
        let mut quarantine = Quarantine::new("a");
        quarantine.record_answer(0, &PromptParts::new((100..160).chain([1])));
        for crash in 1..=3 {
            quarantine.record_loss(crash * S_US, 0, &format!("engine-{crash}"), &prompt(crash));
        }
        quarantine.tick(3 * S_US);
        quarantine.tick(4 * S_US);
        let held = quarantine.quarantined_part(&prompt(4));
        assert_eq!(held, Some(9), "position {position}");
    }
}
