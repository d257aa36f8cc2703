//! Check of a release note against the configuration in force.

use serde::{Serialize, de::DeserializeOwned};
use serde_json::{Value, json};
use settings::{Config, Problem};

use crate::{Change, ConfigList, Note, diff};

/// Applies a note to the configuration in force and returns the next version.
///
/// # Errors
///
/// Returns every mismatch between the note and the configuration in force, and every error of the
/// resulting configuration. The paths refer to the note.
pub fn check(note: &Note, in_force: &Config) -> Result<Config, Vec<Problem>> {
    let mut problems = Vec::new();
    if note.base != in_force.version {
        let message = format!("version {} is in force", in_force.version);
        problems.push(Problem::new(0, "base", &message));
    }
    let Ok(mut config) = serde_json::to_value(in_force) else {
        return Err(vec![Problem::new(0, "", "configuration can't be written")]);
    };
    let added = serde_json::to_value(&note.added).unwrap_or_default();
    for list in ConfigList::ALL {
        remove_withdrawn(note, list, &mut config, &mut problems);
    }
    let mut has_effect = false;
    for (index, change) in note.changed.iter().enumerate() {
        let path = format!("changed[{index}]");
        if note.changed[..index].iter().any(|earlier| {
            (earlier.list, &earlier.name, &earlier.field)
                == (change.list, &change.name, &change.field)
        }) {
            problems.push(Problem::new(0, &path, "the field is changed twice"));
            continue;
        }
        match apply_change(change, in_force, &mut config) {
            Ok(()) => has_effect = true,
            Err((field, message)) => {
                problems.push(Problem::new(0, &format!("{path}{field}"), &message));
            }
        }
    }
    for list in ConfigList::ALL {
        append_added(list, &added, in_force, &mut config, &mut problems);
    }
    has_effect |= added.as_object().is_some_and(|lists| !lists.is_empty());
    has_effect |= ConfigList::ALL
        .iter()
        .any(|list| !note.withdrawn.of(*list).is_empty());
    if !has_effect && problems.is_empty() {
        problems.push(Problem::new(0, "", "the note changes nothing"));
    }
    config["version"] = json!(in_force.version + 1);
    let next = validate_result(note, &config, problems)?;
    find_changes_without_effect(note, in_force, &next)?;
    Ok(next)
}

/// Validates the result and converts it. Errors are reported at the place in the note that caused
/// them.
fn validate_result(
    note: &Note,
    value: &Value,
    mut problems: Vec<Problem>,
) -> Result<Config, Vec<Problem>> {
    for error in settings::check_config_value(value) {
        let path = path_in_note(note, value, &error.path);
        let message = match path.as_str() {
            "" => format!("{}: {}", named_path(value, &error.path), error.message),
            _ => error.message,
        };
        problems.push(Problem::new(0, &path, &message));
    }
    if !problems.is_empty() {
        return Err(problems);
    }
    let mut config = convert::<Config>(value).map_err(|error| vec![error])?;
    config.sort();
    Ok(config)
}

/// Refuses changes whose two values mean the same although they are written differently, such as
/// when only one of them states a default.
fn find_changes_without_effect(
    note: &Note,
    in_force: &Config,
    next: &Config,
) -> Result<(), Vec<Problem>> {
    let effect = diff(in_force, next, "", "").changed;
    let key = |change: &Change| (change.list, change.name.clone(), change.field.clone());
    let effect: Vec<_> = effect.iter().map(key).collect();
    let ineffective = note.changed.iter().enumerate();
    let ineffective = ineffective.filter(|(_, change)| !effect.contains(&key(change)));
    let problems: Vec<Problem> = ineffective
        .map(|(index, _)| {
            let path = format!("changed[{index}].after");
            Problem::new(0, &path, "the change has no effect")
        })
        .collect();
    if problems.is_empty() {
        Ok(())
    } else {
        Err(problems)
    }
}

/// Removes the withdrawn items of one list.
fn remove_withdrawn(
    note: &Note,
    list: ConfigList,
    config: &mut Value,
    problems: &mut Vec<Problem>,
) {
    for (index, name) in note.withdrawn.of(list).iter().enumerate() {
        let items = items_mut(config, list);
        if let Some(found) = items.iter().position(|item| item["name"] == name.as_str()) {
            items.remove(found);
            continue;
        }
        let message = format!("{name:?} is not in force, or withdrawn twice");
        let path = format!("withdrawn.{list}[{index}]");
        problems.push(Problem::new(0, &path, &message));
    }
}

/// Replaces the value of one field. An error is returned with the field of the change that caused
/// it.
fn apply_change(
    change: &Change,
    in_force: &Config,
    config: &mut Value,
) -> Result<(), (&'static str, String)> {
    let name = change.name.as_str();
    let mut items = items_mut(config, change.list).iter_mut();
    let Some(item) = items.find(|item| item["name"] == name) else {
        let reason = if exists(in_force, change.list, name) {
            "is withdrawn by this note"
        } else {
            "is not in force"
        };
        return Err((".name", format!("{name:?} {reason}")));
    };
    if change.field == "name" {
        let message = "a name can't change; withdraw the part and add another";
        return Err((".field", message.to_owned()));
    }
    let Some(value) = item.get_mut(&change.field) else {
        return Err((".field", format!("{} has no such field", change.list)));
    };
    if *value != change.before {
        let message = format!(
            "the value in force is {value}, the note says {}",
            change.before
        );
        return Err((".before", message));
    }
    if change.before == change.after {
        return Err((".after", "the change has no effect".to_owned()));
    }
    *value = change.after.clone();
    Ok(())
}

/// Appends the added items of one list.
fn append_added(
    list: ConfigList,
    added: &Value,
    in_force: &Config,
    config: &mut Value,
    problems: &mut Vec<Problem>,
) {
    for (index, item) in added[list.name()]
        .as_array()
        .into_iter()
        .flatten()
        .enumerate()
    {
        let name = item["name"].as_str().unwrap_or_default();
        if exists(in_force, list, name) {
            let message = format!("{name:?} is already in force; use \"changed\"");
            let path = format!("added.{list}[{index}].name");
            problems.push(Problem::new(0, &path, &message));
            continue;
        }
        items_mut(config, list).push(item.clone());
    }
}

fn exists(config: &Config, list: ConfigList, name: &str) -> bool {
    match list {
        ConfigList::Classes => config.class(name).is_some(),
        ConfigList::Accounts => config.account(name).is_some(),
        ConfigList::Upstreams => config.upstream(name).is_some(),
        ConfigList::Services => config.service(name).is_some(),
    }
}

/// Returns the items of one list.
fn items_mut(config: &mut Value, list: ConfigList) -> &mut Vec<Value> {
    match &mut config[list.name()] {
        Value::Array(items) => items,
        other => unreachable!("a configuration holds {list} as a list, not as {other}"),
    }
}

/// Splits a path such as `accounts[3].weight` into the list, the name of the item and the rest.
fn split_path<'a>(value: &'a Value, path: &'a str) -> Option<(ConfigList, &'a str, &'a str)> {
    let (list, rest) = path.split_once('[')?;
    let (index, rest) = rest.split_once(']')?;
    let list = ConfigList::ALL
        .into_iter()
        .find(|known| known.name() == list)?;
    let item = &value[list.name()][index.parse::<usize>().ok()?];
    Some((list, item["name"].as_str()?, rest.trim_start_matches('.')))
}

/// Returns the path in the note that caused an error at a path of the result; empty if the note
/// doesn't mention that item.
fn path_in_note(note: &Note, value: &Value, path: &str) -> String {
    let Some((list, name, rest)) = split_path(value, path) else {
        return String::new();
    };
    let changed = note.changed.iter().position(|change| {
        change.list == list
            && change.name == name
            && rest.split(['.', '[']).next() == Some(&change.field)
    });
    if let Some(index) = changed {
        return format!("changed[{index}].after");
    }
    let added = serde_json::to_value(&note.added).unwrap_or_default();
    let mut items = added[list.name()].as_array().into_iter().flatten();
    match items.position(|item| item["name"] == name) {
        Some(index) if rest.is_empty() => format!("added.{list}[{index}]"),
        Some(index) => format!("added.{list}[{index}].{rest}"),
        None => String::new(),
    }
}

/// Replaces the index in a path by the name of the item.
fn named_path(value: &Value, path: &str) -> String {
    match split_path(value, path) {
        Some((list, name, rest)) => format!("{list} {name:?} {rest}"),
        None => path.to_owned(),
    }
}

/// Deserializes a value.
fn convert<T>(value: &Value) -> Result<T, Problem>
where
    T: DeserializeOwned + Serialize,
{
    T::deserialize(value).map_err(|error| Problem::new(0, "", &error.to_string()))
}

#[cfg(test)]
#[path = "check_tests.rs"]
mod tests;
