//! Release note between two configurations.

use serde::Serialize;
use serde_json::Value;
use settings::Config;

use crate::{Change, ConfigList, Note};

/// Returns the release note that turns the configuration `before` into `after`.
#[must_use]
pub fn diff(before: &Config, after: &Config, author: &str, reason: &str) -> Note {
    let mut note = Note {
        base: before.version,
        author: author.to_owned(),
        reason: reason.to_owned(),
        ..Note::default()
    };
    note.added.classes = compare(
        ConfigList::Classes,
        &before.classes,
        &after.classes,
        &mut note,
    );
    note.added.accounts = compare(
        ConfigList::Accounts,
        &before.accounts,
        &after.accounts,
        &mut note,
    );
    note.added.upstreams = compare(
        ConfigList::Upstreams,
        &before.upstreams,
        &after.upstreams,
        &mut note,
    );
    note.added.services = compare(
        ConfigList::Services,
        &before.services,
        &after.services,
        &mut note,
    );
    note
}

/// Compares two lists: adds changed fields and removed names to the note, and returns the items
/// that are new.
fn compare<T>(list: ConfigList, before: &[T], after: &[T], note: &mut Note) -> Vec<T>
where
    T: Clone + Serialize,
{
    let mut before: Vec<(String, Value)> = before.iter().map(to_value).collect();
    before.sort_by(|(a, _), (b, _)| a.cmp(b));
    let mut kept = vec![false; before.len()];
    let mut added = Vec::new();
    for item in after {
        let (name, value) = to_value(item);
        match before.binary_search_by(|(old, _)| old.cmp(&name)) {
            Ok(index) => {
                kept[index] = true;
                note.changed.extend(changes(list, &before[index], &value));
            }
            Err(_) => added.push(item.clone()),
        }
    }
    let removed = before.iter().zip(kept).filter(|(_, kept)| !kept);
    let names = removed.map(|((name, _), _)| name.clone()).collect();
    *note.withdrawn.of_mut(list) = names;
    added
}

/// Returns the fields of an item that differ between its old and new value.
fn changes(list: ConfigList, (name, before): &(String, Value), after: &Value) -> Vec<Change> {
    let fields = before.as_object().into_iter().flatten();
    fields
        .filter(|(field, value)| after[field.as_str()] != **value)
        .map(|(field, value)| Change {
            list,
            name: name.clone(),
            field: field.clone(),
            before: value.clone(),
            after: after[field.as_str()].clone(),
        })
        .collect()
}

/// Returns the name of an item and the item as JSON.
///
/// Configuration items are plain data with string keys, which always serialize.
fn to_value<T>(item: &T) -> (String, Value)
where
    T: Serialize,
{
    let value = serde_json::to_value(item).unwrap_or_default();
    (value["name"].as_str().unwrap_or_default().to_owned(), value)
}

#[cfg(test)]
#[path = "diff_tests.rs"]
mod tests;
