use proptest::prelude::*;
use serde_json::{Value, json};
use settings::{Account, Config, Document, Problem, Service, Upstream};

use crate::{
    Answer, Apply, Call, Current, Note, Outcome, Record, Step, Stored, Taken, Tracker, check, diff,
    record_key,
};

fn account(name: &str, weight: u32) -> Value {
    json!({"name": name, "key_sha256": [settings::hash_api_key(name)], "default_class": "urgent",
        "classes": ["urgent"], "requests_per_s": 9, "requests_in_flight": 9,
        "tokens_in_flight": 9, "weight": weight})
}

fn config(version: u64) -> Config {
    let value = json!({
        "version": version,
        "classes": [{"name": "urgent", "tier": 0, "first_token_ms": 790, "token_gap_ms": 33,
            "max_wait_ms": 5_000}],
        "accounts": [account("a", 1), account("b", 2)],
        "upstreams": [{"name": "engine-1", "kind": "model", "address": "127.0.0.1:9100",
            "region": "costa", "zone": "costa-norte", "models": ["m"], "slots": 8}],
        "services": [],
    });
    serde_json::from_value(value).unwrap()
}

fn change(name: &str, field: &str, before: &Value, after: &Value) -> Value {
    json!({"list": "accounts", "name": name, "field": field, "before": before, "after": after})
}

fn check_text(text: &str, in_force: &Config) -> Result<Config, Vec<Problem>> {
    let document = Document::parse(text)?;
    let note = Note::read(&document)?;
    check(&note, in_force).map_err(|problems| document.locate(problems))
}

/// Guards against a note that does something else than it says.
#[test]
fn a_note_has_to_match_what_it_does() {
    let w = |after: u32| change("a", "weight", &json!(1), &json!(after));
    // Name, part of the note, path of the fault, part of its message.
    let cases = [
        (
            "wrong base",
            json!({"base": 6, "changed": [w(3)]}),
            "base",
            "version 7 is in force",
        ),
        (
            "existing",
            json!({"added": {"accounts": [account("a", 1)]}}),
            "added.accounts[0].name",
            "already in force",
        ),
        (
            "added twice",
            json!({"added": {"accounts": [account("c", 1), account("c", 1)]}}),
            "added.accounts[0].name",
            "already the name",
        ),
        (
            "replaced",
            json!({"withdrawn": {"accounts": ["a"]}, "added": {"accounts": [account("a", 5)]}}),
            "added.accounts[0].name",
            "already in force",
        ),
        (
            "before",
            json!({"changed": [change("a", "weight", &json!(2), &json!(3))]}),
            "changed[0].before",
            "in force is 1",
        ),
        (
            "no effect",
            json!({"changed": [w(1)]}),
            "changed[0].after",
            "no effect",
        ),
        (
            "no effect by default",
            json!({"changed": [{"list": "upstreams", "name": "engine-1", "field": "honours",
                "before": {"priority": false, "resume": false, "fencing": false},
                "after": {"priority": false}}]}),
            "changed[0].after",
            "no effect",
        ),
        (
            "twice",
            json!({"changed": [w(2), change("a", "weight", &json!(2), &json!(3))]}),
            "changed[1]",
            "changed twice",
        ),
        (
            "absent part",
            json!({"changed": [change("z", "weight", &json!(1), &json!(2))]}),
            "changed[0].name",
            "not in force",
        ),
        (
            "absent field",
            json!({"changed": [change("a", "wieght", &json!(1), &json!(2))]}),
            "changed[0].field",
            "no such field",
        ),
        (
            "renamed",
            json!({"changed": [change("a", "name", &json!("a"), &json!("c"))]}),
            "changed[0].field",
            "can't change",
        ),
        (
            "changed and gone",
            json!({"changed": [w(2)], "withdrawn": {"accounts": ["a"]}}),
            "changed[0].name",
            "withdrawn by this note",
        ),
        (
            "absent name",
            json!({"withdrawn": {"accounts": ["z"]}}),
            "withdrawn.accounts[0]",
            "not in force",
        ),
        (
            "withdrawn twice",
            json!({"withdrawn": {"accounts": ["a", "a"]}}),
            "withdrawn.accounts[1]",
            "withdrawn twice",
        ),
        ("empty", json!({}), "", "changes nothing"),
        (
            "invalid result",
            json!({"changed": [w(1_001)]}),
            "changed[0].after",
            "from 1 to 1000",
        ),
        (
            "wrong type",
            json!({"changed": [change("a", "weight", &json!(1), &json!("2"))]}),
            "changed[0].after",
            "whole number",
        ),
        (
            "used class",
            json!({"withdrawn": {"classes": ["urgent"]}}),
            "",
            "accounts \"a\" classes[0]: class \"urgent\" does not exist",
        ),
        (
            "bad part",
            json!({"added": {"accounts": [account("c", 0)]}}),
            "added.accounts[0].weight",
            "from 1 to 1000",
        ),
        ("unknown key", json!({"add": {}}), "add", "unknown key"),
        ("misspelt", json!({"chnged": []}), "chnged", "\"changed\""),
    ];
    for (name, part, path, message) in cases {
        let mut note = json!({"base": 7, "author": "ana", "reason": "test"});
        note.as_object_mut()
            .unwrap()
            .extend(part.as_object().unwrap().clone());
        let text = serde_json::to_string_pretty(&note).unwrap();
        let problems = check_text(&text, &config(7)).unwrap_err();
        let found = problems
            .iter()
            .find(|problem| problem.path == path && problem.message.contains(message));
        let line = found.unwrap_or_else(|| panic!("{name}: {problems:?}")).line;
        let key = path.rsplit('.').next().unwrap().split('[').next().unwrap();
        assert!(
            text.lines().nth(line - 1).unwrap().contains(key) || path.ends_with(']'),
            "{name}"
        );
    }
}

/// Guards against a release without an author or a reason in the audit trail.
#[test]
fn a_note_names_author_and_reason() {
    for field in ["base", "author", "reason"] {
        let mut note = json!({"base": 7, "author": "ana", "reason": "test"});
        note.as_object_mut().unwrap().remove(field);
        let problems = Note::parse(&note.to_string()).unwrap_err();
        assert_eq!((problems[0].path.as_str(), problems.len()), (field, 1));
    }
}

fn arbitrary_config() -> impl Strategy<Value = Config> {
    let accounts = prop::collection::btree_map("[a-d]", (1_u32..4, 1_u32..4), 0..4);
    let engines = prop::collection::btree_map("[e-h]", (1_u32..4, any::<bool>()), 0..4);
    (accounts, engines, any::<bool>()).prop_map(|(accounts, engines, service)| {
        let mut next = config(7);
        next.accounts = accounts
            .into_iter()
            .map(|(name, (weight, rate))| {
                let mut account: Account = serde_json::from_value(account(&name, weight)).unwrap();
                account.requests_per_s = rate;
                account
            })
            .collect();
        let template = next.upstreams.remove(0);
        next.upstreams = engines
            .into_iter()
            .enumerate()
            .map(|(index, (name, (slots, resume)))| {
                let mut upstream: Upstream = template.clone();
                upstream
                    .address
                    .set_port(9_000 + u16::try_from(index).unwrap());
                upstream.name = name;
                upstream.slots = slots;
                upstream.honours.resume = resume;
                upstream
            })
            .collect();
        if service {
            let mut upstream = template;
            upstream.name = "parts-1".to_owned();
            upstream.kind = settings::Kind::Service;
            upstream.models.clear();
            upstream.service = "parts".to_owned();
            next.upstreams.push(upstream);
            let name = "parts".to_owned();
            next.services = vec![Service {
                name,
                answer_max_ms: 1,
                non_idempotent: Vec::new(),
            }];
        }
        next
    })
}

proptest! {
    /// Guards against a computed note that its own check refuses or that leads somewhere else.
    #[test]
    fn a_computed_note_leads_to_the_wanted_configuration(
        before in arbitrary_config(),
        after in arbitrary_config(),
    ) {
        let note = diff(&before, &after, "ana", "test");
        let text = serde_json::to_string_pretty(&note).unwrap();
        prop_assert_eq!(&Note::parse(&text).unwrap(), &note);
        match check(&note, &before) {
            Ok(next) => {
                prop_assert_eq!(next.version, 8);
                let next = Config { version: 7, ..next };
                prop_assert_eq!(next.digest(), after.digest());
            }
            Err(problems) => {
                prop_assert_eq!(before, after);
                prop_assert_eq!(problems[0].message.as_str(), "the note changes nothing");
            }
        }
    }
}

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

/// Guards against a wrong outcome for each order of answers; the calls are checked by their keys.
#[test]
fn apply_tells_what_is_known() {
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
    let cases = [
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
    ];
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

/// Guards against a follower that goes back or takes up half a row.
#[test]
fn holds_config_in_the_tracker() {
    let text = |version: u64, weight: u32| {
        let mut config = config(version);
        config.accounts[0].weight = weight;
        let record = Some(Record::new(Note::default(), &config, "x", 0));
        Current { config, record }.to_text()
    };
    let mut damaged = text(9, 1);
    damaged = damaged.replace("\"weight\":2", "\"weight\":3");
    let faulty = |taken: &Taken| matches!(taken, Taken::Faulty(_));
    let newer = |taken: &Taken| matches!(taken, Taken::Newer(_));
    type Check = fn(&Taken) -> bool;
    let cases: [(&str, String, Check, u64, Option<u64>); 8] = [
        (
            "same",
            text(8, 1),
            |taken| *taken == Taken::Same,
            8,
            Some(2),
        ),
        (
            "older",
            text(7, 1),
            |taken| *taken == Taken::Older,
            8,
            Some(1),
        ),
        ("other content", text(8, 2), faulty, 8, Some(1)),
        ("cut off", text(9, 1)[..100].to_owned(), faulty, 8, Some(1)),
        ("damaged", damaged, faulty, 8, Some(1)),
        (
            "record of another version",
            text(9, 1)
                .replace("\"version\":9", "\"version\":10")
                .replacen("\"version\":10", "\"version\":9", 1),
            faulty,
            8,
            Some(1),
        ),
        (
            "version 0",
            text(0, 1),
            |taken| *taken == Taken::Older,
            8,
            Some(1),
        ),
        ("newer", text(12, 1), newer, 12, Some(2)),
    ];
    for (name, value, is_expected, version, confirmed_us) in cases {
        let mut tracker = Tracker::default();
        assert!(newer(&tracker.offer(1, &text(8, 1))));
        let taken = tracker.offer(2, &value);
        assert!(is_expected(&taken), "{name}: {taken:?}");
        assert_eq!(tracker.version(), version, "{name}");
        assert_eq!(tracker.confirmed_us(), confirmed_us, "{name}");
    }
}
