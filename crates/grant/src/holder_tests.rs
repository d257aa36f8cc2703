//! Tests of which grants a holder accepts and when they expire.

use crate::{Assignments, Budget, GrantItem, Grants, Holder, LEASE_US, Peer};

const UPSTREAM: &str = "engine-1";
const NOW_US: u64 = 10 * LEASE_US;

fn holder() -> Holder {
    let mut holder = Holder::new("home");
    let budget = Budget::new(UPSTREAM, "costa", 10);
    // The only host is also the home.
    holder.configure(&Assignments::new(&[budget], &[Peer::new("home", "costa")]));
    holder
}

fn grants(epoch: u32, sequence: u32, sent_us: u64, slots: u16) -> Grants {
    Grants {
        sent_us,
        epoch,
        lease_ms: 2_000,
        items: vec![GrantItem {
            upstream: Budget::new(UPSTREAM, "costa", 10).key(),
            sequence,
            slots,
        }],
    }
}

/// Guards against accepting grants from a message that is late, replayed or not from the home.
#[test]
fn stale_grants_are_ignored() {
    let cases = [
        ("newer", "home", grants(1, 6, NOW_US, 7), 7),
        ("replayed", "home", grants(1, 4, NOW_US, 7), 3),
        ("from another host", "other", grants(1, 6, NOW_US, 7), 3),
        (
            "answer to an old report",
            "home",
            grants(1, 6, NOW_US - LEASE_US, 7),
            3,
        ),
        (
            "answer to a later report",
            "home",
            grants(1, 6, NOW_US + 1, 7),
            3,
        ),
        (
            "from before a restart of the home",
            "home",
            grants(9, 8, NOW_US - 2, 7),
            3,
        ),
        (
            "after a restart of the home",
            "home",
            grants(2, 1, NOW_US, 7),
            7,
        ),
    ];
    for (name, from, message, expected) in cases {
        let mut holder = holder();
        holder.handle_grants(NOW_US - 1, "home", &grants(1, 5, NOW_US - 1, 3));
        holder.handle_grants(NOW_US, from, &message);
        assert_eq!(holder.share(NOW_US, UPSTREAM), expected, "{name}");
    }
}

/// Guards against a daemon that was paused and goes on using a grant that has expired meanwhile.
#[test]
fn lapsed_grant_falls_back() {
    let mut holder = holder();
    holder.handle_grants(NOW_US, "home", &grants(1, 1, NOW_US - 5, 3));
    let lapses_us = NOW_US - 5 + LEASE_US;
    for (now_us, expected) in [(lapses_us - 1, 3), (lapses_us, 10)] {
        assert_eq!(holder.share(now_us, UPSTREAM), expected);
    }
    assert_eq!(holder.take_changed_shares(lapses_us).len(), 1);
    assert!(
        holder.take_changed_shares(lapses_us).is_empty(),
        "nothing has changed"
    );
}
