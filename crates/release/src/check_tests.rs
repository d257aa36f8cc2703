//! Tests of the check of release notes.

use serde_json::{Value, json};
use settings::{Config, Document, Problem};

use crate::{
    Note, check,
    tests::{account, change, config},
};

/// One case a line: name, fields of the note, path of the expected error, part of its message.
/// `A(a, 1)` stands for account `a` with weight 1, `C(a, weight, 1, 2)` for a change of its field
/// `weight` from 1 to 2.
const MISMATCHES: &str = r#"
wrong base | {"base": 6, "changed": [C(a, weight, 1, 3)]} | base | version 7 is in force
existing | {"added": {"accounts": [A(a, 1)]}} | added.accounts[0].name | already in force
added twice | {"added": {"accounts": [A(c, 1), A(c, 1)]}} | added.accounts[0].name | already the name
replaced | {"withdrawn": {"accounts": ["a"]}, "added": {"accounts": [A(a, 5)]}} | added.accounts[0].name | already in force
before | {"changed": [C(a, weight, 2, 3)]} | changed[0].before | in force is 1
no effect | {"changed": [C(a, weight, 1, 1)]} | changed[0].after | no effect
no effect by default | {"changed": [{"list": "upstreams", "name": "engine-1", "field": "honours", "before": {"priority": false, "resume": false, "fencing": false}, "after": {"priority": false}}]} | changed[0].after | no effect
twice | {"changed": [C(a, weight, 1, 2), C(a, weight, 2, 3)]} | changed[1] | changed twice
absent part | {"changed": [C(z, weight, 1, 2)]} | changed[0].name | not in force
absent field | {"changed": [C(a, wieght, 1, 2)]} | changed[0].field | no such field
renamed | {"changed": [C(a, name, "a", "c")]} | changed[0].field | can't change
changed and gone | {"changed": [C(a, weight, 1, 2)], "withdrawn": {"accounts": ["a"]}} | changed[0].name | withdrawn by this note
absent name | {"withdrawn": {"accounts": ["z"]}} | withdrawn.accounts[0] | not in force
withdrawn twice | {"withdrawn": {"accounts": ["a", "a"]}} | withdrawn.accounts[1] | withdrawn twice
empty | {} |  | changes nothing
invalid result | {"changed": [C(a, weight, 1, 1001)]} | changed[0].after | from 1 to 1000
wrong type | {"changed": [C(a, weight, 1, "2")]} | changed[0].after | whole number
used class | {"withdrawn": {"classes": ["urgent"]}} |  | accounts "a" classes[0]: class "urgent" does not exist
bad part | {"added": {"accounts": [A(c, 0)]}} | added.accounts[0].weight | from 1 to 1000
unknown key | {"add": {}} | add | unknown key
misspelt | {"chnged": []} | chnged | "changed"
"#;

fn check_text(text: &str, in_force: &Config) -> Result<Config, Vec<Problem>> {
    let document = Document::parse(text)?;
    let note = Note::read(&document)?;
    check(&note, in_force).map_err(|problems| document.locate(problems))
}

/// Expands `A(..)` and `C(..)` to the objects that they stand for.
fn expand(part: &str) -> Value {
    let mut text = String::new();
    for piece in part.split_inclusive(')') {
        let Some((before, call)) = piece
            .strip_suffix(')')
            .and_then(|piece| piece.split_once('('))
        else {
            text.push_str(piece);
            continue;
        };
        let args: Vec<&str> = call.split(", ").collect();
        let object = match args[..] {
            [name, weight] => account(name, weight.parse().unwrap()),
            [name, field, from, to] => {
                let [from, to] = [from, to].map(|value| serde_json::from_str(value).unwrap());
                change(name, field, &from, &to)
            }
            _ => panic!("{part}"),
        };
        text.push_str(before.trim_end_matches(['A', 'C']));
        text.push_str(&object.to_string());
    }
    serde_json::from_str(&text).unwrap_or_else(|error| panic!("{text}: {error}"))
}

/// Guards against accepting a note that doesn't match the configuration in force.
#[test]
fn a_note_has_to_match_what_it_does() {
    for line in MISMATCHES.trim().lines() {
        let cells: Vec<&str> = line.split(" | ").collect();
        let [name, part, path, message] = cells[..] else {
            panic!("{line}");
        };
        let part = expand(part);
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

/// Guards against a release without a base version, or without an author or reason in the audit
/// trail.
#[test]
fn a_note_names_author_and_reason() {
    for field in ["base", "author", "reason"] {
        let mut note = json!({"base": 7, "author": "ana", "reason": "test"});
        note.as_object_mut().unwrap().remove(field);
        let problems = Note::parse(&note.to_string()).unwrap_err();
        assert_eq!((problems[0].path.as_str(), problems.len()), (field, 1));
    }
}
