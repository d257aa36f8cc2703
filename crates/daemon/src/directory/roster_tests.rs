use settings::{Honours, Upstream, UpstreamKind, UpstreamLifecycle};

use super::{OUTAGE_MIN_US, REREGISTER_GRACE_US, Roster};

pub(in crate::directory) fn upstream(number: u16) -> Upstream {
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
        reclaimable: false,
    }
}

pub(super) fn names(roster: &Roster) -> Vec<&str> {
    let upstreams = roster.upstreams().iter();
    upstreams.map(|upstream| upstream.name.as_str()).collect()
}

/// Guards against losing live upstreams whose rows expired during an outage of the store.
#[test]
fn keeps_missing_upstreams_for_a_while_after_an_outage() {
    let mut roster = Roster::default();
    assert!(roster.update(0, vec![upstream(1), upstream(2)]));
    roster.record_failure();
    assert!(!roster.update(5_000_000, vec![upstream(1)]));
    assert_eq!(names(&roster), ["engine-1", "engine-2"]);
    assert!(roster.update(5_000_000 + REREGISTER_GRACE_US, vec![upstream(1)]));
    assert_eq!(names(&roster), ["engine-1"]);
}

/// Guards against sending work to an upstream that left during an outage until the next regular
/// read, long after the grace period; and against waiting for one that is listed again.
#[test]
fn tells_when_missing_upstreams_are_gone() {
    let mut roster = Roster::default();
    roster.update(0, vec![upstream(1), upstream(2)]);
    assert_eq!(roster.grace_ends_us(), None);
    roster.record_failure();
    roster.update(5_000_000, vec![upstream(1)]);
    assert_eq!(
        roster.grace_ends_us(),
        Some(5_000_000 + REREGISTER_GRACE_US)
    );
    roster.update(6_000_000, vec![upstream(1), upstream(2)]);
    assert_eq!(roster.grace_ends_us(), None);
    assert_eq!(names(&roster), ["engine-1", "engine-2"]);
}

/// Guards against keeping an upstream that was listed after an outage and then left.
#[test]
fn drops_an_upstream_that_leaves_after_the_return() {
    let mut roster = Roster::default();
    roster.update(0, vec![upstream(1), upstream(2), upstream(3)]);
    roster.record_failure();
    roster.update(5_000_000, vec![upstream(1), upstream(2)]);
    assert!(roster.update(5_500_000, vec![upstream(1)]));
    assert_eq!(names(&roster), ["engine-1", "engine-3"]);
}

/// Guards against a read that fails once, while the store is in order, and is taken for an outage in
/// which rows may have expired: an upstream that left got requests for 2.5 s more (DRAIN).
#[test]
fn drops_a_missing_upstream_after_a_short_failure() {
    let mut roster = Roster::default();
    roster.update(0, vec![upstream(1), upstream(2)]);
    roster.record_read(0);
    roster.record_failure();
    roster.update(OUTAGE_MIN_US - 1, vec![upstream(1)]);
    assert_eq!(names(&roster), ["engine-1"]);
    roster.record_read(OUTAGE_MIN_US - 1);
    // Whoever knows of an outage goes before.
    roster.update(OUTAGE_MIN_US, vec![upstream(1), upstream(2)]);
    roster.record_outage();
    roster.update(OUTAGE_MIN_US + 1, vec![upstream(1)]);
    assert_eq!(names(&roster), ["engine-1", "engine-2"]);
}

/// Guards against keeping an upstream that left while the store was reachable.
#[test]
fn drops_a_missing_upstream_at_once_without_an_outage() {
    let mut roster = Roster::default();
    roster.update(0, vec![upstream(1), upstream(2)]);
    assert!(roster.update(700_000, vec![upstream(1)]));
    assert_eq!(names(&roster), ["engine-1"]);
}

/// Guards against sending work to an address that now belongs to another upstream.
#[test]
fn drops_a_missing_upstream_whose_address_is_taken() {
    let mut roster = Roster::default();
    roster.update(0, vec![upstream(1)]);
    roster.record_failure();
    let successor = Upstream {
        name: "stock-9".to_owned(),
        ..upstream(1)
    };
    roster.update(5_000_000, vec![successor]);
    assert_eq!(names(&roster), ["stock-9"]);
}
