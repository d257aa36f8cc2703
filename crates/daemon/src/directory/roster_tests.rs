use settings::{Honours, Upstream, UpstreamKind, UpstreamLifecycle};

use super::{RETURN_US, Roster};

pub(super) fn upstream(number: u16) -> Upstream {
    Upstream {
        name: format!("engine-{number}"),
        kind: UpstreamKind::Service,
        address: ([127, 0, 0, 1], number).into(),
        region: "costa".to_owned(),
        zone: "costa-norte".to_owned(),
        models: Vec::new(),
        service: "faucet".to_owned(),
        slots: 1,
        honours: Honours::default(),
        state: UpstreamLifecycle::Live,
        engine: None,
        started_ms: None,
    }
}

pub(super) fn names(roster: &Roster) -> Vec<&str> {
    let upstreams = roster.upstreams().iter();
    upstreams.map(|upstream| upstream.name.as_str()).collect()
}

/// Guards against losing upstreams whose rows lapsed while the store was away.
#[test]
fn keeps_missing_upstreams_for_a_while_after_an_outage() {
    let mut roster = Roster::default();
    assert!(roster.take(0, vec![upstream(1), upstream(2)]));
    roster.note_failure();
    assert!(!roster.take(5_000_000, vec![upstream(1)]));
    assert_eq!(names(&roster), ["engine-1", "engine-2"]);
    assert!(roster.take(5_000_000 + RETURN_US, vec![upstream(1)]));
    assert_eq!(names(&roster), ["engine-1"]);
}

/// Guards against an upstream that left during an outage and gets work until the next read, long after
/// its row could have come back; and against waiting for one that is back.
#[test]
fn tells_when_missing_upstreams_are_gone() {
    let mut roster = Roster::default();
    roster.take(0, vec![upstream(1), upstream(2)]);
    assert_eq!(roster.settles_us(), None);
    roster.note_failure();
    roster.take(5_000_000, vec![upstream(1)]);
    assert_eq!(roster.settles_us(), Some(5_000_000 + RETURN_US));
    roster.take(6_000_000, vec![upstream(1), upstream(2)]);
    assert_eq!(roster.settles_us(), None);
    assert_eq!(names(&roster), ["engine-1", "engine-2"]);
}

/// Guards against keeping an upstream that was listed after an outage and has left since.
#[test]
fn drops_an_upstream_that_leaves_after_the_return() {
    let mut roster = Roster::default();
    roster.take(0, vec![upstream(1), upstream(2), upstream(3)]);
    roster.note_failure();
    roster.take(5_000_000, vec![upstream(1), upstream(2)]);
    assert!(roster.take(5_500_000, vec![upstream(1)]));
    assert_eq!(names(&roster), ["engine-1", "engine-3"]);
}

/// Guards against keeping an upstream that has left while the store answered.
#[test]
fn drops_a_missing_upstream_at_once_without_an_outage() {
    let mut roster = Roster::default();
    roster.take(0, vec![upstream(1), upstream(2)]);
    assert!(roster.take(700_000, vec![upstream(1)]));
    assert_eq!(names(&roster), ["engine-1"]);
}

/// Guards against sending work to an address that another upstream has by now.
#[test]
fn drops_a_missing_upstream_whose_address_is_taken() {
    let mut roster = Roster::default();
    roster.take(0, vec![upstream(1)]);
    roster.note_failure();
    let successor = Upstream {
        name: "stock-9".to_owned(),
        ..upstream(1)
    };
    roster.take(5_000_000, vec![successor]);
    assert_eq!(names(&roster), ["stock-9"]);
}
