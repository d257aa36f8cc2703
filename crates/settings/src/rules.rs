//! Validation rules that span several fields of a document.
//!
//! They work on the untyped content, so that they also report errors in a document that does not
//! match its schema.

use std::collections::BTreeMap;

use serde_json::Value;

use crate::{DutyKind, Problem, limits, schemas};

/// Shortest time after a window by which its counts can be gathered and reported.
const USAGE_LATE_MIN_S: u64 = 2;

/// Checks an untyped configuration against its schema and rules.
///
/// Returns every error, without lines.
#[must_use]
pub fn check_config_value(config: &Value) -> Vec<Problem> {
    let mut problems = Vec::new();
    schemas::CONFIG.check(config, "", &mut problems);
    check_config(config, &mut problems);
    problems
}

/// Appends the errors between different items of a configuration.
pub(crate) fn check_config(config: &Value, problems: &mut Vec<Problem>) {
    for list in ["classes", "accounts", "upstreams", "services"] {
        check_unique(config, list, "name", problems);
    }
    check_classes(config, problems);
    check_accounts(config, problems);
    check_upstreams(config, problems);
    check_services(config, problems);
}

/// Appends the errors between different fields of host settings.
pub(crate) fn check_host(host: &Value, problems: &mut Vec<Problem>) {
    check_unique(host, "peer_keys", "id", problems);
    check_memory(host, problems);
    check_descriptors(host, problems);
    let mut seen = BTreeMap::new();
    for field in ["listen", "admin_listen", "peer_listen", "store"] {
        let address = text(host, field);
        // For port 0 the operating system picks a free port, so two such addresses don't collide.
        if address.is_empty() || address.ends_with(":0") {
            continue;
        }
        if let Some(first) = seen.insert(address, field) {
            let message = format!("{address} is already the address of {first}");
            problems.push(Problem::new(0, field, &message));
        }
    }
    check_duties(&host["duties"], problems);
}

fn check_duties(duties: &Value, problems: &mut Vec<Problem>) {
    let mut seen = Vec::new();
    for (index, kind) in texts(duties, "kinds") {
        let path = format!("duties.kinds[{index}]");
        if seen.contains(&kind) {
            let message = format!("duty {kind:?} is listed twice");
            problems.push(Problem::new(0, &path, &message));
        }
        if kind == DutyKind::UsageReport.name() && duties["usage"].is_null() {
            let message = format!("duty {kind:?} needs the windows of the reports");
            problems.push(Problem::new(0, "duties.usage", &message));
        }
        seen.push(kind);
    }
    let usage = &duties["usage"];
    if let (Some(window_s), Some(late_s)) = (usage["window_s"].as_u64(), usage["late_s"].as_u64())
        && late_s < USAGE_LATE_MIN_S
    {
        let message = format!(
            "expected at least the {USAGE_LATE_MIN_S} s in which the counts of a window of \
             {window_s} s are gathered, found {late_s}"
        );
        problems.push(Problem::new(0, "duties.usage.late_s", &message));
    }
}

/// Memory of a process without callers, and the part of the rest that one body may take.
const PROCESS_MB: u64 = 24;
const BODY_PART: u64 = 2;

/// A host has to hold one body of the largest size.
fn check_memory(host: &Value, problems: &mut Vec<Problem>) {
    let memory_mb = host["memory_max_mb"].as_u64();
    let body_bytes = host["body_max_bytes"].as_u64();
    if let (Some(memory_mb), Some(body_bytes)) = (memory_mb, body_bytes) {
        let max_bytes = memory_mb.saturating_sub(PROCESS_MB) * 1_000_000 / BODY_PART;
        if body_bytes > max_bytes {
            let message =
                format!("memory_max_mb {memory_mb} has room for bodies of up to {max_bytes} bytes");
            problems.push(Problem::new(0, "body_max_bytes", &message));
        }
    }
}

fn check_descriptors(host: &Value, problems: &mut Vec<Problem>) {
    let descriptors = host["descriptors_max"].as_u64();
    let reserved = host["descriptors_reserved"].as_u64();
    if let (Some(max), Some(reserved)) = (descriptors, reserved)
        && reserved >= max
    {
        let message = format!("leaves none of descriptors_max {max} for callers");
        problems.push(Problem::new(0, "descriptors_reserved", &message));
    }
}

fn check_classes(config: &Value, problems: &mut Vec<Problem>) {
    let reserved = items(config, "classes").map(|(_, class)| &class["reserved_percent"]);
    let sum: u64 = reserved.filter_map(Value::as_u64).sum();
    let max = *limits::RESERVED_PERCENT.end();
    if sum > max {
        let message = format!("reserved_percent of all classes is {sum}, at most {max} allowed");
        problems.push(Problem::new(0, "classes", &message));
    }
}

fn check_accounts(config: &Value, problems: &mut Vec<Problem>) {
    let mut keys = BTreeMap::new();
    for (index, account) in items(config, "accounts") {
        let path = format!("accounts[{index}]");
        let mut allowed = Vec::new();
        for (position, class) in texts(account, "classes") {
            if !has_item(config, "classes", class) {
                let message = format!("class {class:?} does not exist");
                problems.push(Problem::new(
                    0,
                    &format!("{path}.classes[{position}]"),
                    &message,
                ));
            }
            if allowed.contains(&class) {
                let message = format!("class {class:?} is listed twice");
                problems.push(Problem::new(
                    0,
                    &format!("{path}.classes[{position}]"),
                    &message,
                ));
            }
            allowed.push(class);
        }
        let default = text(account, "default_class");
        if !default.is_empty() && !allowed.contains(&default) {
            let message = format!("class {default:?} is not in \"classes\" of this account");
            problems.push(Problem::new(0, &format!("{path}.default_class"), &message));
        }
        for (position, digest) in texts(account, "key_sha256") {
            let name = text(account, "name");
            if let Some(first) = keys.insert(digest.to_ascii_lowercase(), name) {
                let message = format!("digest is already a key of account {first:?}");
                let path = format!("{path}.key_sha256[{position}]");
                problems.push(Problem::new(0, &path, &message));
            }
        }
    }
}

fn check_upstreams(config: &Value, problems: &mut Vec<Problem>) {
    check_unique(config, "upstreams", "address", problems);
    for (index, upstream) in items(config, "upstreams") {
        let mut add_error = |field: &str, message: &str| {
            let path = format!("upstreams[{index}].{field}");
            problems.push(Problem::new(0, &path, message));
        };
        let models: Vec<&str> = texts(upstream, "models").map(|(_, model)| model).collect();
        let service = text(upstream, "service");
        match text(upstream, "kind") {
            "model" => {
                if models.is_empty() {
                    add_error(
                        "models",
                        "an upstream of kind model serves at least one model",
                    );
                }
                if !models.is_sorted_by(|a, b| a < b) {
                    add_error("models", "models have to be sorted and without repeats");
                }
                if !service.is_empty() {
                    add_error("service", "an upstream of kind model names no service");
                }
            }
            "service" => {
                if service.is_empty() {
                    add_error("service", "an upstream of kind service names its service");
                } else if !has_item(config, "services", service) {
                    add_error("service", &format!("service {service:?} does not exist"));
                }
                if !models.is_empty() {
                    add_error("models", "an upstream of kind service serves no models");
                }
            }
            _ => {}
        }
    }
}

fn check_services(config: &Value, problems: &mut Vec<Problem>) {
    for (index, service) in items(config, "services") {
        let name = text(service, "name");
        let path = format!("services[{index}]");
        let mut upstreams = items(config, "upstreams");
        if !name.is_empty() && !upstreams.any(|(_, upstream)| text(upstream, "service") == name) {
            let message = format!("no upstream provides service {name:?}");
            problems.push(Problem::new(0, &path, &message));
        }
        check_autoscaling(
            &service["autoscaling"],
            &format!("{path}.autoscaling"),
            problems,
        );
        for (position, rule) in items(service, "non_idempotent") {
            if !text(rule, "path_prefix").starts_with('/') {
                let path = format!("{path}.non_idempotent[{position}].path_prefix");
                problems.push(Problem::new(
                    0,
                    &path,
                    "expected a path that begins with '/'",
                ));
            }
        }
    }
}

/// Checks the bounds and prices of a service's upstreams against their schema and rules.
///
/// Returns every error, without lines.
pub(crate) fn check_autoscaling_value(autoscaling: &Value) -> Vec<Problem> {
    let mut problems = Vec::new();
    schemas::AUTOSCALING.check(autoscaling, "", &mut problems);
    check_autoscaling(autoscaling, "", &mut problems);
    problems
}

/// Appends the errors between different fields of the bounds and prices of a service's upstreams.
fn check_autoscaling(autoscaling: &Value, path: &str, problems: &mut Vec<Problem>) {
    let field_path = |field: &str| match path {
        "" => field.to_owned(),
        _ => format!("{path}.{field}"),
    };
    let bound = |field: &str| autoscaling[field].as_u64();
    if let (Some(min), Some(max)) = (bound("upstreams_min"), bound("upstreams_max"))
        && min > max
    {
        let message = format!("{min} is more than upstreams_max, which is {max}");
        problems.push(Problem::new(0, &field_path("upstreams_min"), &message));
    }
    let mut seen = BTreeMap::new();
    for (index, zone) in items(autoscaling, "zones") {
        let name = text(zone, "zone");
        if let Some(first) = seen.insert(name, index).filter(|_| !name.is_empty()) {
            let message = format!("zone {name:?} is already zones[{first}]");
            let path = field_path(&format!("zones[{index}].zone"));
            problems.push(Problem::new(0, &path, &message));
        }
    }
}

/// Appends an error for each item of a list whose value of a field occurred before.
fn check_unique(document: &Value, list: &str, field: &str, problems: &mut Vec<Problem>) {
    let mut seen = BTreeMap::new();
    for (index, item) in items(document, list) {
        let value = &item[field];
        if value.is_null() {
            continue;
        }
        if let Some(first) = seen.insert(value.to_string(), index) {
            let message = format!("{value} is already the {field} of {list}[{first}]");
            problems.push(Problem::new(
                0,
                &format!("{list}[{index}].{field}"),
                &message,
            ));
        }
    }
}

/// Returns whether a list has an item with this name.
fn has_item(config: &Value, list: &str, name: &str) -> bool {
    items(config, list).any(|(_, item)| text(item, "name") == name)
}

/// Returns the items of a list with their indexes; none if it is not a list.
fn items<'a>(value: &'a Value, list: &str) -> impl Iterator<Item = (usize, &'a Value)> {
    value[list].as_array().into_iter().flatten().enumerate()
}

/// Returns the strings in a list with their indexes.
fn texts<'a>(value: &'a Value, list: &str) -> impl Iterator<Item = (usize, &'a str)> {
    items(value, list).filter_map(|(index, text)| Some((index, text.as_str()?)))
}

/// Returns a string field; empty if it is missing or not a string.
fn text<'a>(value: &'a Value, field: &str) -> &'a str {
    value[field].as_str().unwrap_or_default()
}
