//! Table-driven tests of merging records, of key rotation and of replay protection.

use rand::{SeedableRng as _, rngs::StdRng};
use settings::PeerKey;

use crate::{
    Keys, ListedHost, Member, Membership, Options, Output, State, replay_window::ReplayWindow,
};

fn keys(ids: &[u8]) -> Keys {
    let key = |&id: &u8| PeerKey {
        id,
        secret_hex: format!("{id:02x}112233445566778899aabbccddeeff"),
    };
    Keys::new(&ids.iter().map(key).collect::<Vec<_>>()).unwrap()
}

fn member(name: &str, state: State, incarnation: u64) -> Member {
    let mut member = Member::new(name, "127.0.0.1:7000".parse().unwrap(), incarnation);
    member.state = state;
    member
}

fn membership(name: &str, ids: &[u8]) -> Membership {
    let me = member(name, State::Live, 5);
    Membership::new(me, keys(ids), Options::default())
}

/// Guards against an older record that overrides a newer one.
#[test]
fn peer_merges_by_incarnation_then_state() {
    use State::{Dead, Leaving, Live, Suspect};
    let cases = [
        ("older incarnation", (Live, 5), (Dead, 4), (Live, 5)),
        ("suspicion", (Live, 5), (Suspect, 5), (Suspect, 5)),
        (
            "death is first a suspicion",
            (Live, 5),
            (Dead, 5),
            (Suspect, 5),
        ),
        ("refuted suspicion", (Suspect, 5), (Live, 6), (Live, 6)),
        ("stale incarnation", (Suspect, 5), (Live, 5), (Suspect, 5)),
        ("leaving", (Live, 5), (Leaving, 5), (Leaving, 5)),
        ("leaving stays", (Leaving, 5), (Live, 5), (Leaving, 5)),
        (
            "leaving and suspected",
            (Leaving, 5),
            (Suspect, 5),
            (Leaving, 5),
        ),
        (
            "new incarnation after leaving",
            (Leaving, 5),
            (Live, 6),
            (Live, 6),
        ),
        ("dead stays", (Dead, 5), (Live, 5), (Dead, 5)),
        ("dead and leaving", (Dead, 5), (Leaving, 5), (Dead, 5)),
        ("new incarnation", (Dead, 5), (Live, 6), (Live, 6)),
        (
            "unknown death of a new incarnation",
            (Live, 5),
            (Dead, 6),
            (Suspect, 6),
        ),
    ];
    for (name, known, record, expected) in cases {
        let mut view = membership("a", &[1]);
        let first = member(
            "b",
            if known.0 == Dead { Suspect } else { known.0 },
            known.1,
        );
        view.merge(0, &first, true, &mut Vec::new());
        if known.0 == Dead {
            view.declare_dead(u64::MAX / 2, &mut Vec::new());
        }
        view.merge(0, &member("b", record.0, record.1), true, &mut Vec::new());
        let seen = view.member("b").unwrap();
        assert_eq!((seen.state, seen.incarnation), expected, "{name}");
    }
}

/// Guards against a live daemon that does not refute a record that calls it suspect or dead.
#[test]
fn peer_refutes_what_is_said_about_itself() {
    let cases = [
        ("suspicion", State::Suspect, 5, 6),
        ("death", State::Dead, 5, 6),
        ("earlier incarnation", State::Dead, 4, 5),
        ("later number of an earlier process", State::Live, 9, 10),
        ("nothing new", State::Live, 5, 5),
    ];
    for (name, state, incarnation, expected) in cases {
        let mut view = membership("a", &[1]);
        view.merge(0, &member("a", state, incarnation), true, &mut Vec::new());
        assert_eq!(view.me().incarnation, expected, "{name}");
    }
}

/// Guards against a restarted daemon whose datagrams are rejected because a clock that was stepped
/// back gave it a lower incarnation than before.
#[test]
fn peer_rises_above_an_earlier_life() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut a = membership("a", &[1]);
    let mut b = membership("b", &[1]);
    b.merge(0, &member("a", State::Live, 9), false, &mut Vec::new());
    let mut out = Vec::new();
    b.tick(1, &mut rng, &mut out);
    let Some(Output::Send { bytes, to }) = out.iter().find(|o| matches!(o, Output::Send { .. }))
    else {
        panic!("no ping");
    };
    let received = a.receive(1, *to, bytes, &mut rng, &mut Vec::new());
    assert_eq!((received, a.me().incarnation), (Ok(()), 10));
}

/// Guards against a restarted daemon that stays marked as leaving because the host list lags.
#[test]
fn peer_follows_changes_of_the_host_list() {
    let address = "127.0.0.1:7000".parse().unwrap();
    let list = |leaving| [ListedHost::new("b", address).with_leaving(leaving)];
    let mut view = membership("a", &[1]);
    view.set_hosts(&list(false));
    assert_eq!(view.member("b").unwrap().state, State::Live);
    view.merge(0, &member("b", State::Live, 1), true, &mut Vec::new());
    view.set_hosts(&list(true));
    assert_eq!(view.member("b").unwrap().state, State::Leaving);
    view.set_hosts(&list(false));
    assert_eq!(view.member("b").unwrap().state, State::Leaving);
    view.set_hosts(&list(true));
    view.merge(0, &member("b", State::Live, 2), true, &mut Vec::new());
    view.set_hosts(&list(true));
    assert_eq!(view.member("b").unwrap().state, State::Live);
}

/// Guards against a key rotation during which daemons reject each other's datagrams.
#[test]
fn peer_accepts_every_listed_key() {
    let cases: [(&str, &[u8], &[u8], bool); 4] = [
        ("same key", &[1], &[1], true),
        ("receiver prepared", &[1], &[1, 2], true),
        ("sender switched", &[2, 1], &[1, 2], true),
        ("old key withdrawn", &[1], &[2], false),
    ];
    for (name, sender, receiver, accepted) in cases {
        let mut rng = StdRng::seed_from_u64(1);
        let mut a = membership("a", sender);
        let mut b = membership("b", receiver);
        let address = a.me().address;
        a.set_hosts(&[ListedHost::new("b", address)]);
        let mut out = Vec::new();
        a.tick(1, &mut rng, &mut out);
        let Some(Output::Send { bytes, .. }) = out.first() else {
            panic!("{name}: no ping");
        };
        let received = b.receive(1, address, bytes, &mut rng, &mut Vec::new());
        assert_eq!(received.is_ok(), accepted, "{name}: {received:?}");
        assert_eq!(b.member("a").is_some(), accepted, "{name}");
    }
}

/// Guards against a payload that fits into no datagram, is never dropped and uses up the byte
/// budget at every tick.
#[test]
fn peer_drops_a_payload_that_fits_nowhere() {
    let long = "x".repeat(64);
    let me = member("a", State::Live, 5).with_locality(&long, &long);
    let mut view = Membership::new(me, keys(&[1]), Options::default());
    let other = member(&long, State::Suspect, 5).with_locality(&long, &long);
    view.merge(0, &other, true, &mut Vec::new());
    view.queue_payload(&long, vec![0; 800]);
    let mut out = Vec::new();
    view.tick(1, &mut StdRng::seed_from_u64(1), &mut out);
    assert!(view.payloads.first().is_none());
}

/// Guards against replayed datagrams, also those of an earlier process of the sender.
#[test]
fn peer_accepts_a_sequence_number_once() {
    let mut window = ReplayWindow::default();
    let first = [(5, 1, true), (5, 1, false), (5, 200, true), (5, 136, false)];
    let second = [
        (5, 137, true),
        (5, 137, false),
        (6, 3, true),
        (5, 300, false),
    ];
    for (incarnation, sequence, accepted) in [first, second].concat() {
        let result = window.accept(incarnation, sequence);
        assert_eq!(result, accepted, "{incarnation}, {sequence}");
    }
}

/// Guards against urgent payloads that wait behind others for the byte budget, and that use it up.
#[test]
fn peer_sends_urgent_payloads_beside_the_budget() {
    let mut view = membership("one", &[1]);
    view.set_hosts(&[ListedHost::new("two", "127.0.0.1:7002".parse().unwrap())]);
    let mut rng = StdRng::seed_from_u64(1);
    let mut out = Vec::new();
    let mut now_us = 1_000_000;
    // Uses up the budget.
    for _ in 0..20 {
        for _ in 0..4 {
            view.queue_payload("two", vec![0; 800]);
        }
        now_us += 1_000;
        view.tick(now_us, &mut rng, &mut out);
    }
    out.clear();
    view.queue_urgent_payload("two", vec![7; 600]);
    view.tick(now_us + 1_000, &mut rng, &mut out);
    let is_urgent = |output: &Output| match output {
        Output::Send { bytes, .. } => bytes.windows(600).any(|bytes| bytes == [7; 600]),
        _ => false,
    };
    assert!(out.iter().any(is_urgent), "{out:?}");
    // Urgent payloads have a limit too.
    let sent_before = view.counters().sent_bytes;
    for _ in 0..100 {
        view.queue_urgent_payload("two", vec![7; 600]);
        now_us += 1_000;
        view.tick(now_us, &mut rng, &mut out);
    }
    let sent_bytes = view.counters().sent_bytes - sent_before;
    assert!(sent_bytes < 30_000, "{sent_bytes}");
}
