use serde_json::{Value, json};
use settings::{Config, Document, Problem};

use crate::{
    Note, check,
    tests::{account, change, config},
};

/// Name, part of the note, path of the fault, part of its message.
type Case = (&'static str, Value, &'static str, &'static str);

fn check_text(text: &str, in_force: &Config) -> Result<Config, Vec<Problem>> {
    let document = Document::parse(text)?;
    let note = Note::read(&document)?;
    check(&note, in_force).map_err(|problems| document.locate(problems))
}

fn run(cases: Vec<Case>) {
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

/// Guards against a change of a field that does something else than it says.
#[test]
fn a_change_has_to_match_what_is_in_force() {
    let w = |after: u32| change("a", "weight", &json!(1), &json!(after));
    run(vec![
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
    ]);
}

/// Guards against a note whose parts or result are refused by nobody.
#[test]
fn a_note_has_to_match_what_it_does() {
    let w = |after: u32| change("a", "weight", &json!(1), &json!(after));
    run(vec![
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
    ]);
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
