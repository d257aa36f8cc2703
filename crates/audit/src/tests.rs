//! Tests of the journal.

use crate::{Journal, Step};

fn left(received_tokens: u32) -> Step {
    Step::CallerLeft { received_tokens }
}

/// Guards against a journal that grows without bound with the number of requests.
#[test]
fn journal_is_bounded() {
    let mut journal = Journal::new(3);
    for id in 1..=10 {
        journal.record(id, id, left(0));
    }
    assert_eq!(journal.len(), 3);
    journal.record(11, 1, left(0));
    assert!(journal.explain(1).is_none());
    assert!(journal.explain(8).is_some());
}

/// Guards against a request that moves between upstreams again and again and fills the memory.
#[test]
fn records_of_a_request_are_bounded() {
    let mut journal = Journal::new(1);
    for tokens in 0..1_000 {
        journal.record(0, 1, left(tokens));
    }
    let records = journal.explain(1).unwrap();
    assert_eq!(records.len(), 32);
    assert_eq!(records[0].step, left(0));
    assert_eq!(records[31].step, left(999));
}

/// Guards against recording a step under the wrong request when the steps of several requests
/// interleave.
#[test]
fn interleaved_requests_are_kept_apart() {
    let mut journal = Journal::new(8);
    for (id, tokens) in [(2, 1), (1, 2), (2, 3), (1, 4)] {
        journal.record(0, id, left(tokens));
    }
    let steps: Vec<&Step> = journal
        .explain(1)
        .unwrap()
        .iter()
        .map(|r| &r.step)
        .collect();
    assert_eq!(steps, [&left(2), &left(4)]);
}
