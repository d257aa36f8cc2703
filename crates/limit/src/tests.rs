//! Tests of the limits per client account and of the retry budget.

use crate::{Allowance, LimitExceeded, Limits, RetryBudget, TokenBucket};

const ALLOWANCE: Allowance = Allowance {
    requests_per_s: 60,
    requests_in_flight: 12,
    tokens_in_flight: 600,
};

fn limits(daemons: u32) -> Limits {
    let mut limits = Limits::default();
    limits.set_live_daemons(0, daemons);
    limits.configure(0, [("a", ALLOWANCE)]);
    limits
}

/// Guards against a limit that isn't enforced or is reported as a different one.
#[test]
fn each_limit_has_its_code() {
    for (name, daemons, tokens, wait_us, admitted, expected) in [
        ("requests", 1, 1, 0, 12, LimitExceeded::Requests),
        ("requests of a share", 6, 1, 0, 2, LimitExceeded::Requests),
        ("tokens", 1, 100, 0, 6, LimitExceeded::Tokens),
        (
            "large request runs alone",
            6,
            500,
            0,
            1,
            LimitExceeded::Tokens,
        ),
    ] {
        let mut limits = limits(daemons);
        for _ in 0..admitted {
            assert_eq!(limits.admit(wait_us, "a", tokens), Ok(()), "{name}");
        }
        assert_eq!(limits.admit(wait_us, "a", tokens), Err(expected), "{name}");
        limits.release("a", tokens);
        assert_eq!(limits.admit(wait_us, "a", tokens), Ok(()), "{name}");
    }
}

/// Guards against a rate above the daemon's share, and against a retry time that is too early.
#[test]
fn rate_is_a_share_of_the_fleet() {
    let mut limits = limits(6);
    for _ in 0..10 {
        assert_eq!(limits.admit(0, "a", 1), Ok(()));
        limits.release("a", 1);
    }
    let retry_after_us = 100_000;
    assert_eq!(
        limits.admit(0, "a", 1),
        Err(LimitExceeded::Rate { retry_after_us })
    );
    assert!(limits.admit(retry_after_us - 1, "a", 1).is_err());
    assert_eq!(limits.admit(retry_after_us, "a", 1), Ok(()));
}

/// Guards against a daemon that uses the whole fleet-wide limit when it can't reach its peers.
#[test]
fn share_is_kept_without_peers() {
    let mut limits = limits(6);
    limits.set_live_daemons(1, 0);
    assert_eq!(limits.admit(1, "a", 1), Ok(()));
    assert_eq!(limits.admit(1, "a", 1), Ok(()));
    assert_eq!(limits.admit(1, "a", 1), Err(LimitExceeded::Requests));
    limits.set_live_daemons(2, 3);
    assert_eq!(limits.admit(2, "a", 1), Ok(()));
    assert_eq!(limits.in_flight("a"), 3);
}

/// Guards against losing counts when the configuration changes while requests run.
#[test]
fn counts_survive_a_configuration() {
    let mut limits = limits(6);
    assert_eq!(limits.admit(0, "a", 1), Ok(()));
    limits.configure(1, [("b", ALLOWANCE), ("a", ALLOWANCE)]);
    assert_eq!(limits.in_flight("a"), 1);
    assert_eq!(limits.admit(1, "unlimited", 1_000_000), Ok(()));
}

/// Guards against a bucket that holds more than one second of its rate, or that refills while the
/// clock stands still.
#[test]
fn bucket_holds_one_second() {
    let mut bucket = TokenBucket::new(0, 5);
    let taken = (0..100).filter(|_| bucket.try_take(0)).count();
    assert_eq!(taken, 5);
    let taken = (0..100).filter(|_| bucket.try_take(60_000_000)).count();
    assert_eq!(taken, 5);
    assert!(!TokenBucket::new(0, 0).try_take(0));
}

/// Guards against retries that multiply the load of a failing upstream.
#[test]
fn retries_are_a_fraction_of_starts() {
    for (name, starts, at_us, expected) in [
        ("floor", 0, 0, 3),
        ("fraction", 100, 0, 13),
        ("half a window later", 100, 15_000_000, 8),
        ("long ago", 100, 40_000_000, 3),
    ] {
        let mut budget = RetryBudget::default();
        for _ in 0..starts {
            budget.start(0);
        }
        let retries = (0..100).filter(|_| budget.try_retry(at_us)).count();
        assert_eq!(retries, expected, "{name}");
    }
}

/// Guards against one lost engine whose streams use up the retries of all other jobs, and against
/// losses that are retried without bound. Load: all streams of an engine are lost at once.
#[test]
fn lost_streams_have_a_bounded_budget_of_their_own() {
    for (starts, retries) in [(12, 4 + 3), (200, 23 + 20)] {
        let mut budget = RetryBudget::default();
        (0..starts).for_each(|_| budget.start(0));
        let allowed = (0..starts).filter(|_| budget.try_retry_after_loss(1));
        assert_eq!(allowed.count(), retries, "{starts} starts");
        assert!(!budget.try_retry(1), "{starts} starts");
        assert!(budget.try_retry_after_loss(30_000_000), "{starts} starts");
    }
}
