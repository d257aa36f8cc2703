//! Tests of the evidence against whole requests.

use crate::request_log::{RequestLog, RequestLoss};

const MS_US: u64 = 1_000;

fn loss(upstream: u64, sent_ms: u64, lost_ms: u64) -> RequestLoss {
    RequestLoss {
        upstream,
        sent_us: sent_ms * MS_US,
        lost_us: lost_ms * MS_US,
    }
}

/// Guards against upstreams that fail together being counted as crashes by one request, and
/// against repeats at several upstreams that are not counted.
#[test]
fn only_losses_one_after_the_other_count() {
    let cases: [(&str, &[RequestLoss], usize); 6] = [
        ("one", &[loss(1, 0, 10)], 1),
        (
            "one after the other",
            &[loss(1, 0, 10), loss(2, 10, 20), loss(3, 25, 30)],
            3,
        ),
        (
            "at the same moment",
            &[loss(1, 0, 100), loss(2, 10, 100), loss(3, 90, 101)],
            1,
        ),
        (
            "side by side, at different moments",
            &[loss(1, 0, 1_000), loss(2, 200, 1_400), loss(3, 900, 1_900)],
            3,
        ),
        (
            "reported out of order",
            &[loss(3, 25, 30), loss(1, 0, 10), loss(2, 10, 20)],
            3,
        ),
        (
            "again and again at one faulty upstream",
            &[loss(1, 0, 10), loss(1, 20, 30), loss(1, 60_000, 60_010)],
            1,
        ),
    ];
    for (name, losses, expected) in cases {
        let mut log = RequestLog::default();
        for loss in losses {
            log.record(7, *loss);
        }
        assert_eq!(log.evidence(7), expected, "{name}");
        assert_eq!(log.evidence(8), 0, "{name}");
    }
}

/// Guards against a log that grows with the number of different requests, and against a flood of
/// them that drives out the latest ones.
#[test]
fn different_requests_are_bounded() {
    let mut log = RequestLog::default();
    for request in 0..5_000 {
        log.record(request, loss(request, request, request + 1));
    }
    assert!(log.losses(0).is_empty());
    assert_eq!(log.losses(4_999).len(), 1);
    log.expire(2_000_000_000 * MS_US);
    assert!(log.losses(4_999).is_empty());
}

/// Guards against a flood of requests that are lost once each, which drives out the evidence against
/// one that was lost twice.
#[test]
fn requests_lost_once_drive_out_no_evidence() {
    let mut log = RequestLog::default();
    log.record(7, loss(1, 0, 10));
    log.record(7, loss(2, 10, 20));
    for request in 100..5_000 {
        log.record(request, loss(request, 30, 40));
    }
    assert_eq!(log.evidence(7), 2);
}

/// Guards against many repeats side by side that push each other out before any evidence adds up.
#[test]
fn parallel_repeats_are_counted() {
    let mut log = RequestLog::default();
    for repeat in 0..40 {
        log.record(7, loss(repeat, repeat * 30, repeat * 30 + 1_000));
    }
    assert!(log.evidence(7) >= 3, "{}", log.evidence(7));
}
