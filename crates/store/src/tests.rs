//! Tests of the in-memory table.

use crate::{Expect, Fault, MemoryTable, StoreError};

/// Guards against an in-memory table that applies a write whose condition does not hold.
#[test]
fn conditional_writes() {
    let table = MemoryTable::default();
    assert_eq!(table.write_now("k", Expect::Absent, "1"), Ok(1));
    let conflict = table.write_now("k", Expect::Absent, "2");
    assert!(matches!(conflict, Err(StoreError::Conflict(Some(row))) if row.value == "1"));
    assert!(matches!(
        table.write_now("k", Expect::Version(9), "2"),
        Err(StoreError::Conflict(Some(_)))
    ));
    assert_eq!(table.write_now("k", Expect::Version(1), "2"), Ok(2));
    assert_eq!(table.scan_now("k", 1).unwrap().len(), 1);
    assert!(table.scan_now("k", 2).unwrap().is_empty());
}

/// Guards against injected faults whose error doesn't match what happened to the row.
#[test]
fn faults_tell_what_was_applied() {
    let cases = [
        (Fault::Down, StoreError::Down, false),
        (Fault::AnswerLost, StoreError::Unknown, true),
        (Fault::RequestLost, StoreError::Unknown, false),
    ];
    for (fault, error, applied) in cases {
        let table = MemoryTable::default().with_faults([fault]);
        assert_eq!(
            table.write_now("k", Expect::Absent, "1"),
            Err(error),
            "{fault:?}"
        );
        assert_eq!(table.read_now("k").unwrap().is_some(), applied, "{fault:?}");
    }
}
