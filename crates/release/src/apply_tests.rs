//! Tests of `Apply` with scripted answers of the table service.

use serde_json::json;

use store::StoreVersion;

use crate::{
    Apply, CurrentRelease, Note, Record, Step, StoredRow, TableAnswer, TableCall, record_key,
    tests::{change, config},
};

/// One case a line: name, answers in order, outcome, and the first character after `release/` of
/// the key of each call (`c` for `release/current`, a digit for the record of that version).
const CASES: &str = "
plain | row:7:x written written written | Applied { version: 8, recorded: true } | c7c8
down at once | down | Down | c
down before the write | row:7:x down | Down | c7
down at the write | row:7:x taken down | Down | c7c
record left to others | row:7:x taken written down | Applied { version: 8, recorded: false } | c7c8
late | row:8:x | Conflict { version: 8 } | c
lost race | row:7:x taken conflict:8:y | Conflict { version: 8 } | c7c
answer lost | row:7:x taken unknown row:8:me written | Applied { version: 8, recorded: true } | c7cc8
answer and read lost | row:7:x taken unknown unknown row:8:me taken \
    | Applied { version: 8, recorded: true } | c7ccc8
answer lost, then down | row:7:x taken unknown down | Unknown | c7cc
request lost | row:7:x taken unknown row:7:x taken written taken \
    | Applied { version: 8, recorded: true } | c7cc7c8
stale read back | row:7:x taken unknown row:7:x taken conflict:8:me taken \
    | Applied { version: 8, recorded: true } | c7cc7c8
older read back | row:7:x taken unknown row:6:w row:8:me taken \
    | Applied { version: 8, recorded: true } | c7ccc8
lost, then replaced | row:7:x taken unknown row:9:z record:8:me \
    | Applied { version: 8, recorded: true } | c7cc8
lost, then beaten | row:7:x taken unknown row:9:z record:8:y | Conflict { version: 9 } | c7cc8
lost, then beaten at once | row:7:x taken unknown row:8:y none | Conflict { version: 8 } | c7cc8
no end | row:7:x taken unknown unknown unknown unknown unknown unknown | Unknown | c7cccccc
";

fn note() -> Note {
    let note = json!({"base": 7, "author": "ana", "reason": "test",
        "changed": [change("a", "weight", &json!(1), &json!(3))]});
    serde_json::from_value(note).unwrap()
}

fn row(version: u64, attempt: &str) -> TableAnswer {
    let config = config(version);
    let record = Some(Record::new(Note::default(), &config, attempt, 0));
    let value = CurrentRelease { config, record }.to_text();
    TableAnswer::Row(Some(StoredRow {
        version: StoreVersion::new(0, 10 * version),
        value,
    }))
}

fn record(version: u64, attempt: &str) -> TableAnswer {
    let value = Record::new(Note::default(), &config(version), attempt, 0).to_text();
    TableAnswer::Row(Some(StoredRow {
        version: StoreVersion::new(0, 1),
        value,
    }))
}

fn answer(text: &str) -> TableAnswer {
    let parts: Vec<&str> = text.split(':').collect();
    match parts[..] {
        ["row", version, attempt] => row(version.parse().unwrap(), attempt),
        ["record", version, attempt] => record(version.parse().unwrap(), attempt),
        ["conflict", version, attempt] => match row(version.parse().unwrap(), attempt) {
            TableAnswer::Row(row) => TableAnswer::Conflict(row),
            other => other,
        },
        // The row exists already.
        ["taken"] => TableAnswer::Conflict(Some(StoredRow {
            version: StoreVersion::new(0, 1),
            value: String::new(),
        })),
        ["none"] => TableAnswer::Row(None),
        ["written"] => TableAnswer::Written,
        ["down"] => TableAnswer::Down,
        ["unknown"] => TableAnswer::Unknown,
        _ => panic!("{text}"),
    }
}

/// Guards against a wrong outcome or a wrong order of calls for any of these sequences of answers.
#[test]
fn apply_tells_what_is_known() {
    for line in CASES.trim().lines() {
        let cells: Vec<&str> = line.split(" | ").map(str::trim).collect();
        let [name, answers, outcome, keys] = cells[..] else {
            panic!("{line}");
        };
        let mut apply = Apply::new(note(), "me".to_owned(), 0);
        let mut called_keys = String::new();
        for text in answers.split_whitespace() {
            let Step::Call(TableCall::Read { key } | TableCall::Write { key, .. }) = apply.step()
            else {
                panic!("{name}: ended early with {:?}", apply.step());
            };
            called_keys.push_str(&key["release/".len()..][..1]);
            apply.handle_answer(answer(text));
        }
        let Step::Done(found) = apply.step() else {
            panic!("{name}: has not ended");
        };
        assert_eq!(format!("{found:?}"), outcome, "{name}");
        assert_eq!(called_keys, keys, "{name}");
    }
}

/// Guards against replacing `release/current` without the condition that it still has the version
/// that was read.
#[test]
fn the_replacement_is_conditional() {
    let mut apply = Apply::new(note(), "me".to_owned(), 5);
    apply.handle_answer(row(7, "x"));
    let Step::Call(TableCall::Write { key, expect, .. }) = apply.step() else {
        panic!("no write");
    };
    assert_eq!((key, expect), (record_key(7), None));
    apply.handle_answer(TableAnswer::Written);
    let Step::Call(TableCall::Write { expect, value, .. }) = apply.step() else {
        panic!("no write");
    };
    assert_eq!(expect, Some(StoreVersion::new(0, 70)));
    let next = CurrentRelease::from_text(&value).unwrap();
    assert_eq!((next.attempt(), next.config.version), (Some("me"), 8));
    assert_eq!(next.record.unwrap().written_unix_ms, 5);
}
