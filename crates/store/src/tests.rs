//! Tests of the in-memory table.

use crate::{Expect, Fault, MemoryTable, Row, StoreError, StoreVersion};

const fn version(number: u64) -> StoreVersion {
    StoreVersion::new(0, number)
}

/// Guards against an in-memory table that applies a write whose condition does not hold.
#[test]
fn conditional_writes() {
    let table = MemoryTable::default();
    assert_eq!(table.write_now("k", Expect::Absent, "1"), Ok(version(1)));
    let conflict = table.write_now("k", Expect::Absent, "2");
    assert!(matches!(conflict, Err(StoreError::Conflict(Some(row))) if row.value == "1"));
    assert!(matches!(
        table.write_now("k", Expect::Version(version(9)), "2"),
        Err(StoreError::Conflict(Some(_)))
    ));
    assert_eq!(
        table.write_now("k", Expect::Version(version(1)), "2"),
        Ok(version(2))
    );
    assert_eq!(table.scan_now("k", version(1)).unwrap().len(), 1);
    assert!(table.scan_now("k", version(2)).unwrap().is_empty());
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

/// Guards against a condition on a version of an earlier era that holds for another row, and against
/// an outcome that is told although another row may have been replaced.
#[test]
fn restored_table_gives_numbers_out_again() {
    let table = MemoryTable::default();
    table.write_now("k", Expect::Absent, "1").unwrap();
    let copy = table.copy();
    let lost = table.write_now("k", Expect::Version(version(1)), "2");
    assert_eq!(lost, Ok(version(2)));
    table.restore(&copy);
    let row = |number, value: &str| Row {
        key: "k".to_owned(),
        version: StoreVersion::new(1, number),
        value: value.to_owned(),
    };
    assert_eq!(table.read_now("k"), Ok(Some(row(1, "1"))));
    let conflict = |row| Err(StoreError::Conflict(Some(row)));
    // The copy has this number too.
    let stale = Expect::Version(version(1));
    assert_eq!(table.write_now("k", stale, "3"), conflict(row(1, "1")));
    let known = Expect::Version(StoreVersion::new(1, 1));
    let again = StoreVersion::new(1, 2);
    assert_eq!(table.write_now("k", known, "4"), Ok(again));
    assert!(version(2) < again);

    let unaware = || table.push_fault(Some(Fault::EraUnknown));
    unaware();
    let write = table.write_now("k", Expect::Version(version(9)), "5");
    assert_eq!(write, conflict(row(2, "4")));
    unaware();
    let write = table.write_now("k", Expect::Version(version(2)), "6");
    assert_eq!(write, Err(StoreError::Unknown));
    assert_eq!(table.read_now("k"), Ok(Some(row(3, "6"))));
}

/// Guards against an era on the wire of the project's own table service, which has none.
#[test]
fn row_is_json_with_a_number() {
    let row = Row {
        key: "k".to_owned(),
        version: version(7),
        value: "1".to_owned(),
    };
    let json = r#"{"key":"k","version":7,"value":"1"}"#;
    assert_eq!(serde_json::to_string(&row).unwrap(), json);
    assert_eq!(serde_json::from_str::<Row>(json).unwrap(), row);
}
