//! Tests of the evidence about upstreams, each named after the load or failure that it answers.

use crate::{Board, Complaint, Message, Outbox, Sighting, Symptom};

const SECOND_US: u64 = 1_000_000;

/// Upstreams that each daemon uses.
const CONTACTS: u16 = 40;

fn complaint(upstream: u64, symptom: Symptom) -> Complaint {
    Complaint {
        upstream,
        started_ms: 0,
        symptom,
        age_ms: 0,
        silent_ms: if symptom == Symptom::Silent { 900 } else { 0 },
    }
}

fn message(complaints: &[Complaint]) -> Message {
    Message {
        contacts: CONTACTS,
        complaints: complaints.to_vec(),
    }
}

/// Returns what a daemon knows that received something from an upstream at this time.
fn alive_at(alive_us: u64) -> Sighting {
    Sighting {
        started_ms: None,
        alive_us,
        tried_us: alive_us,
    }
}

fn is_doubted(board: &mut Board, now_us: u64, upstream: u64, sighting: &Sighting) -> bool {
    board.doubted_until_us(now_us, upstream, sighting).is_some()
}

/// Guards against an engine whose host has gone dark, and to which each daemon sends until its own
/// connections time out. Two daemons' time-outs suffice; one daemon's may be the fault of its link.
#[test]
fn engine_dark_under_streams() {
    let mut board = Board::default();
    let silent = message(&[complaint(7, Symptom::Silent)]);
    let now_us = 10 * SECOND_US;
    // The last event of a stream came before the silence that the others report.
    let sighting = alive_at(now_us - SECOND_US);
    board.receive(now_us, "a", &silent);
    assert!(!is_doubted(&mut board, now_us, 7, &sighting), "one daemon");
    board.receive(now_us, "a", &silent);
    assert!(!is_doubted(&mut board, now_us, 7, &sighting), "same daemon");
    board.receive(now_us, "b", &silent);
    assert!(is_doubted(&mut board, now_us, 7, &sighting), "two daemons");
    assert!(!is_doubted(&mut board, now_us, 8, &sighting), "another one");
    let fresh = alive_at(now_us - 100_000);
    assert!(!is_doubted(&mut board, now_us, 7, &fresh), "own events");
    let late_us = now_us + 3 * SECOND_US;
    assert!(!is_doubted(&mut board, late_us, 7, &sighting), "lapsed");
    assert_eq!(board.expire(late_us), 2);
    assert!(!board.has_reports());
}

/// Guards against an engine that stays out of service after a restart at the same address. One
/// refused connection is enough; a new start or an answer ends the doubt at once.
#[test]
fn engine_killed_and_back_under_the_same_address() {
    let now_us = 10 * SECOND_US;
    let refused = Complaint {
        started_ms: 100,
        ..complaint(7, Symptom::Refused)
    };
    let old = Sighting {
        started_ms: Some(100),
        ..Sighting::default()
    };
    let new = Sighting {
        started_ms: Some(200),
        ..Sighting::default()
    };
    let mut board = Board::default();
    board.receive(now_us, "a", &message(&[refused]));
    assert!(is_doubted(&mut board, now_us, 7, &old));
    assert!(!is_doubted(&mut board, now_us, 7, &new), "new start");
    let answered = Sighting {
        alive_us: now_us + 300_000,
        ..old
    };
    let in_transit = Sighting {
        alive_us: now_us + 30_000,
        ..old
    };
    let later_us = now_us + 300_000;
    assert!(is_doubted(&mut board, later_us, 7, &in_transit));
    assert!(!is_doubted(&mut board, later_us, 7, &answered), "answered");
}

/// Guards against a daemon that is cut off from half of the upstreams and empties the pool of the
/// others: neither does it tell, nor would it be believed, alone or with a second one.
#[test]
fn one_reporter_cut_off_from_half_of_the_upstreams() {
    let now_us = 10 * SECOND_US;
    let half = 0..u64::from(CONTACTS) / 2;
    let mut outbox = Outbox::default();
    for upstream in half.clone() {
        outbox.record(now_us, upstream, None, Symptom::Silent, 900_000);
    }
    assert_eq!(outbox.take_message(now_us, CONTACTS), None);
    let mut board = Board::default();
    let complaints: Vec<Complaint> = half
        .clone()
        .map(|upstream| complaint(upstream, Symptom::Silent))
        .collect();
    for reporter in ["a", "b"] {
        for part in complaints.chunks(8) {
            board.receive(now_us, reporter, &message(part));
        }
    }
    let sighting = Sighting::default();
    let doubted = half.filter(|&upstream| is_doubted(&mut board, now_us, upstream, &sighting));
    assert_eq!(doubted.count(), 0);
}

/// Guards against false complaints that keep an upstream out of service: it is tried again within
/// ten seconds, and whoever was wrong isn't believed for a minute.
#[test]
fn false_or_forged_complaints() {
    let mut board = Board::default();
    let forged = message(&[complaint(7, Symptom::Refused)]);
    let mut sighting = Sighting::default();
    let mut doubted_s = 0;
    for second in 1..=30 {
        let now_us = second * SECOND_US;
        board.receive(now_us, "liar", &forged);
        if is_doubted(&mut board, now_us, 7, &sighting) {
            doubted_s += 1;
            continue;
        }
        // The pool sends it a request, which is answered.
        let before = sighting;
        sighting = alive_at(now_us + 300_000);
        board.record_answer(now_us + 300_000, 7, &before);
    }
    assert!(doubted_s <= 11, "{doubted_s} s");
    assert!(!is_doubted(&mut board, 31 * SECOND_US, 7, &sighting));
}

/// Guards against bytes without bound from a daemon that complains about everything.
#[test]
fn complaints_about_names_that_do_not_exist() {
    let mut board = Board::default();
    for first in (0..10_000).step_by(24) {
        let complaints: Vec<Complaint> = (first..first + 24)
            .map(|upstream| complaint(upstream, Symptom::Refused))
            .collect();
        board.receive(SECOND_US, "liar", &message(&complaints));
    }
    assert!(!is_doubted(
        &mut board,
        SECOND_US,
        9_999,
        &Sighting::default()
    ));
    assert_eq!(board.expire(5 * SECOND_US), 128);
}

/// Guards against a message that doesn't fit into a payload of 800 bytes.
#[test]
fn message_fits_into_a_payload() {
    let complaints = vec![
        Complaint {
            upstream: u64::MAX,
            started_ms: 1 << 41,
            symptom: Symptom::Cut,
            age_ms: u16::MAX,
            silent_ms: u16::MAX,
        };
        Message::COMPLAINTS_MAX
    ];
    let bytes = postcard::to_stdvec(&message(&complaints)).unwrap();
    assert!(bytes.len() <= 640, "{}", bytes.len());
}

/// Guards against an observation that is told twice, late, or after the upstream has answered.
#[test]
fn each_observation_is_told_once() {
    let mut outbox = Outbox::default();
    outbox.record(0, 7, Some(100), Symptom::Refused, 0);
    outbox.record(0, 8, None, Symptom::Silent, 900_000);
    outbox.record_answer(8);
    assert!(outbox.has_news());
    let told = outbox.take_message(50_000, CONTACTS).unwrap();
    let expected = Complaint {
        age_ms: 50,
        started_ms: 100,
        ..complaint(7, Symptom::Refused)
    };
    assert_eq!(told.complaints, [expected]);
    assert_eq!(outbox.take_message(60_000, CONTACTS), None);
    outbox.record(70_000, 9, None, Symptom::Refused, 0);
    assert_eq!(outbox.take_message(4 * SECOND_US, CONTACTS), None, "lapsed");
}
