use serde_json::json;

use crate::{
    Answer, Apply, Call, Current, Note, Outcome, Record, Step, Stored, record_key,
    tests::{change, config},
};

/// Name, answers in order, outcome, last character of the key of each call.
type Case = (&'static str, Vec<Answer>, Outcome, &'static str);

fn note() -> Note {
    let note = json!({"base": 7, "author": "ana", "reason": "test",
        "changed": [change("a", "weight", &json!(1), &json!(3))]});
    serde_json::from_value(note).unwrap()
}

fn row(version: u64, attempt: &str) -> Answer {
    let config = config(version);
    let record = Some(Record::new(Note::default(), &config, attempt, 0));
    let value = Current { config, record }.to_text();
    Answer::Row(Some(Stored {
        version: 10 * version,
        value,
    }))
}

fn record(version: u64, attempt: &str) -> Answer {
    let value = Record::new(Note::default(), &config(version), attempt, 0).to_text();
    Answer::Row(Some(Stored { version: 1, value }))
}

fn conflict(answer: Answer) -> Answer {
    match answer {
        Answer::Row(row) => Answer::Conflict(row),
        other => other,
    }
}

fn run(cases: Vec<Case>) {
    for (name, answers, outcome, keys) in cases {
        let mut apply = Apply::new(note(), "me".to_owned(), 0);
        let mut called = String::new();
        for answer in answers {
            let Step::Call(Call::Read { key } | Call::Write { key, .. }) = apply.step() else {
                panic!("{name}: ended early with {:?}", apply.step());
            };
            called.push_str(&key["release/".len()..][..1]);
            apply.answer(answer);
        }
        assert_eq!(apply.step(), Step::Done(outcome), "{name}");
        assert_eq!(called, keys, "{name}");
    }
}

/// Guards against a wrong outcome while every answer of a write arrives.
#[test]
fn apply_without_lost_answers() {
    let taken = || {
        conflict(Answer::Row(Some(Stored {
            version: 1,
            value: String::new(),
        })))
    };
    let applied = |recorded| Outcome::Applied {
        version: 8,
        recorded,
    };
    run(vec![
        (
            "plain",
            vec![
                row(7, "x"),
                Answer::Written,
                Answer::Written,
                Answer::Written,
            ],
            applied(true),
            "c7c8",
        ),
        ("down at once", vec![Answer::Down], Outcome::Down, "c"),
        (
            "down before the write",
            vec![row(7, "x"), Answer::Down],
            Outcome::Down,
            "c7",
        ),
        (
            "down at the write",
            vec![row(7, "x"), taken(), Answer::Down],
            Outcome::Down,
            "c7c",
        ),
        (
            "record left to others",
            vec![row(7, "x"), taken(), Answer::Written, Answer::Down],
            applied(false),
            "c7c8",
        ),
        (
            "late",
            vec![row(8, "x")],
            Outcome::Conflict { version: 8 },
            "c",
        ),
        (
            "lost race",
            vec![row(7, "x"), taken(), conflict(row(8, "y"))],
            Outcome::Conflict { version: 8 },
            "c7c",
        ),
    ]);
}

/// Guards against a wrong outcome after the answer to the conditional write was lost.
#[test]
fn apply_after_a_lost_answer() {
    let taken = || {
        conflict(Answer::Row(Some(Stored {
            version: 1,
            value: String::new(),
        })))
    };
    let applied = |recorded| Outcome::Applied {
        version: 8,
        recorded,
    };
    let lost = || vec![row(7, "x"), taken(), Answer::Unknown];
    let with = |mut first: Vec<Answer>, then: Vec<Answer>| {
        first.extend(then);
        first
    };
    run(vec![
        (
            "answer lost",
            with(lost(), vec![row(8, "me"), Answer::Written]),
            applied(true),
            "c7cc8",
        ),
        (
            "answer and read lost",
            with(lost(), vec![Answer::Unknown, row(8, "me"), taken()]),
            applied(true),
            "c7ccc8",
        ),
        (
            "answer lost, then down",
            with(lost(), vec![Answer::Down]),
            Outcome::Unknown,
            "c7cc",
        ),
        (
            "request lost",
            with(lost(), vec![row(7, "x"), taken(), Answer::Written, taken()]),
            applied(true),
            "c7cc7c8",
        ),
        (
            "stale read back",
            with(
                lost(),
                vec![row(7, "x"), taken(), conflict(row(8, "me")), taken()],
            ),
            applied(true),
            "c7cc7c8",
        ),
        (
            "older read back",
            with(lost(), vec![row(6, "w"), row(8, "me"), taken()]),
            applied(true),
            "c7ccc8",
        ),
        (
            "lost, then replaced",
            with(lost(), vec![row(9, "z"), record(8, "me")]),
            applied(true),
            "c7cc8",
        ),
        (
            "lost, then beaten",
            with(lost(), vec![row(9, "z"), record(8, "y")]),
            Outcome::Conflict { version: 9 },
            "c7cc8",
        ),
        (
            "lost, then beaten at once",
            with(lost(), vec![row(8, "y"), Answer::Row(None)]),
            Outcome::Conflict { version: 8 },
            "c7cc8",
        ),
        (
            "no end",
            with(lost(), vec![Answer::Unknown; 5]),
            Outcome::Unknown,
            "c7cccccc",
        ),
    ]);
}

/// Guards against a write without its condition.
#[test]
fn the_replacement_is_conditional() {
    let mut apply = Apply::new(note(), "me".to_owned(), 5);
    apply.answer(row(7, "x"));
    let Step::Call(Call::Write { key, expect, .. }) = apply.step() else {
        panic!("no write");
    };
    assert_eq!((key, expect), (record_key(7), None));
    apply.answer(Answer::Written);
    let Step::Call(Call::Write { expect, value, .. }) = apply.step() else {
        panic!("no write");
    };
    assert_eq!(expect, Some(70));
    let next = Current::from_text(&value).unwrap();
    assert_eq!((next.attempt(), next.config.version), (Some("me"), 8));
    assert_eq!(next.record.unwrap().written_unix_ms, 5);
}
