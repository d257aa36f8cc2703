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
    let cases: [(&str, &[RequestLoss], usize); 5] = [
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
            "reported out of order",
            &[loss(3, 25, 30), loss(1, 0, 10), loss(2, 10, 20)],
            3,
        ),
        (
            "twice at one crash",
            &[loss(1, 0, 10), loss(1, 20, 30), loss(1, 40, 50)],
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
    for request in 0..1_000_000 {
        log.record(request, loss(request, request, request + 1));
    }
    assert!(log.losses(0).is_empty());
    assert_eq!(log.losses(999_999).len(), 1);
    log.expire(2_000_000_000 * MS_US);
    assert!(log.losses(999_999).is_empty());
}
