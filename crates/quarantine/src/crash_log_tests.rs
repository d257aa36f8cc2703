//! Tests of the choice of the parts that explain crashes.

use crate::{LossReport, crash_log::CrashLog};

const S_US: u64 = 1_000_000;

/// Lost request: time in tenths of a second, upstream, shared parts, own part.
type Loss = (u64, u64, &'static [u64], u64);

fn record(log: &mut CrashLog, at_us: u64, upstream: u64, parts: &[u64], own: u64) {
    record_request(log, at_us, upstream, parts, own, 0);
}

fn record_request(
    log: &mut CrashLog,
    at_us: u64,
    upstream: u64,
    parts: &[u64],
    own: u64,
    request: u64,
) {
    let report = LossReport {
        upstream,
        age_ms: 0,
        parts: parts.to_vec(),
        own,
        request,
        ran_ms: 0,
    };
    log.record(at_us, &report);
}

/// Lost requests and the parts that explain them. Part 9 is the culprit, where there is one; parts
/// from 1 to 3 were answered before.
const CASES: [(&str, &[Loss], &[u64]); 11] = [
    (
        "two crashes",
        &[(10, 1, &[9], 100), (20, 2, &[9], 101)],
        &[],
    ),
    (
        "three crashes with three requests",
        &[(10, 1, &[9], 100), (20, 2, &[9], 101), (30, 3, &[9], 102)],
        &[9],
    ),
    (
        "one request, retried",
        &[(10, 1, &[9], 100), (20, 2, &[9], 100), (30, 3, &[9], 100)],
        &[],
    ),
    (
        "one crash, noticed in turn",
        &[(10, 1, &[9], 100), (25, 1, &[9], 101), (40, 1, &[9], 102)],
        &[],
    ),
    (
        "upstreams that fail together",
        &[(10, 1, &[9], 100), (11, 2, &[9], 101), (12, 3, &[9], 102)],
        &[],
    ),
    (
        "always behind an answered part",
        &[
            (10, 1, &[1, 9], 100),
            (20, 2, &[1, 9], 101),
            (30, 3, &[1, 9], 102),
        ],
        &[9],
    ),
    (
        "always behind a part that nobody saw answered",
        &[
            (10, 1, &[5, 9], 100),
            (20, 2, &[5, 9], 101),
            (30, 3, &[5, 9], 102),
        ],
        &[9],
    ),
    (
        "behind a part that was lost once more without it",
        &[
            (10, 1, &[5, 9], 100),
            (20, 2, &[5, 9], 101),
            (30, 3, &[5, 9], 102),
            (40, 4, &[5], 103),
        ],
        &[9],
    ),
    (
        "before a part that is in some of its requests",
        &[
            (10, 1, &[9, 6], 100),
            (20, 2, &[9, 6], 101),
            (30, 3, &[9, 6], 102),
            (40, 4, &[9, 7], 103),
            (50, 5, &[9, 8], 104),
            (60, 6, &[9, 7], 105),
        ],
        &[9],
    ),
    (
        "beside a victim of three of its crashes",
        &[
            (10, 1, &[9], 100),
            (10, 1, &[6, 7], 200),
            (20, 2, &[9], 101),
            (20, 2, &[6, 7], 201),
            (30, 3, &[9], 102),
            (40, 4, &[9], 103),
            (40, 4, &[6, 7], 202),
        ],
        &[9],
    ),
    (
        "two culprits",
        &[
            (10, 1, &[8], 100),
            (20, 2, &[9], 200),
            (30, 3, &[8], 101),
            (40, 4, &[9], 201),
            (50, 5, &[8], 102),
            (60, 6, &[9], 202),
        ],
        &[8, 9],
    ),
];

/// Guards against an innocent part that is held responsible for crashes, and against a culprit that
/// isn't found.
#[test]
fn culprit_is_the_part_that_explains_most_with_least() {
    for (name, losses, expected) in CASES {
        let mut log = CrashLog::default();
        for &(at, upstream, parts, own) in losses {
            record(&mut log, at * S_US / 10, upstream, parts, own);
        }
        let culprits = log.culprits(
            |_| None,
            |_| None,
            |part| (1..=3).contains(&part),
            |_| false,
            |_| false,
        );
        let mut parts: Vec<u64> = culprits.iter().map(|culprit| culprit.part).collect();
        parts.sort_unstable();
        assert_eq!(parts, expected, "{name}");
    }
}

/// Guards against crashes before an answer that still count against the answered part.
#[test]
fn crashes_before_a_clearance_do_not_count() {
    let mut log = CrashLog::default();
    for crash in 1..=4 {
        record(&mut log, crash * S_US, crash, &[9], 100 + crash);
    }
    let culprits = |cleared_us| {
        log.culprits(
            |_| Some(cleared_us),
            |_| None,
            |_| false,
            |_| false,
            |_| false,
        )
    };
    assert_eq!(culprits(S_US)[0].crashes, 3);
    assert!(culprits(2 * S_US).is_empty());
    assert!(log.is_evident(9, Some(S_US), |_| None));
    assert!(!log.is_evident(9, Some(2 * S_US), |_| None));
}

/// Guards against a known culprit that is taken for innocent because requests with the part before
/// it are lost at other crashes later.
#[test]
fn known_culprit_explains_its_crashes_first() {
    let mut log = CrashLog::default();
    for crash in 1..=9 {
        let parts: &[u64] = if crash <= 3 { &[5, 9] } else { &[5] };
        record(&mut log, crash * 10 * S_US, crash, parts, 100 + crash);
    }
    let culprits = log.culprits(|_| None, |_| None, |_| false, |part| part == 9, |_| false);
    let parts: Vec<u64> = culprits.iter().map(|culprit| culprit.part).collect();
    assert_eq!(parts, [5, 9]);
}

/// Guards against crashes that still count after one of their parts was released: against the parts
/// beside it, and against requests that were lost with it by chance.
#[test]
fn crashes_before_a_release_do_not_count() {
    let mut log = CrashLog::default();
    for crash in 1..=3 {
        record(&mut log, crash * S_US, crash, &[5, 9], 100 + crash);
        record(&mut log, crash * S_US, crash, &[6], 200 + crash);
    }
    let parts = |log: &CrashLog, released_us| -> Vec<u64> {
        let released_us = |part| (part == 9).then_some(released_us);
        let culprits = log.culprits(released_us, released_us, |_| false, |_| false, |_| false);
        culprits.iter().map(|culprit| culprit.part).collect()
    };
    assert_eq!(parts(&log, 0), [9]);
    assert!(parts(&log, 3 * S_US).is_empty());
    let released_us = |part| (part == 9).then_some(3 * S_US);
    assert!(!log.is_evident(6, None, released_us));
    assert_eq!(log.crashes_with(5, None, released_us).count(), 0);
    assert_eq!(log.reports(4 * S_US, released_us).count(), 0);
    // A loss that is reported late belongs to a crash before the release.
    record(&mut log, 3 * S_US + 1, 3, &[6], 204);
    assert!(parts(&log, 3 * S_US).is_empty());
    for crash in 4..=6 {
        record(&mut log, crash * S_US, crash, &[5], 100 + crash);
    }
    assert_eq!(parts(&log, 3 * S_US), [5]);
}

/// Guards against a sound part that is blamed for the crashes by one request that is held back, and
/// against a deadly part that hides behind its requests.
#[test]
fn held_request_explains_its_crashes_unless_others_share_the_part() {
    let mut log = CrashLog::default();
    for crash in 1..=4 {
        record_request(&mut log, crash * S_US, crash, &[1, 5], 100, 77);
        record_request(
            &mut log,
            crash * S_US,
            crash,
            &[1, 6],
            200 + crash,
            200 + crash,
        );
    }
    let culprits = |log: &CrashLog, held: &[u64]| {
        let is_held = |request| held.contains(&request);
        let culprits = log.culprits(|_| None, |_| None, |_| false, |_| false, is_held);
        culprits
            .iter()
            .map(|culprit| culprit.part)
            .collect::<Vec<u64>>()
    };
    assert_eq!(culprits(&log, &[]), [6]);
    assert!(!culprits(&log, &[77]).contains(&1));
    for crash in 11..=14 {
        record_request(&mut log, crash * S_US, crash, &[1, 5], 300, 78);
    }
    assert!(culprits(&log, &[77, 78]).contains(&1));
}
