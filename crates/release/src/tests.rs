//! Fixtures of several test files.

use serde_json::{Value, json};
use settings::Config;

pub(crate) fn account(name: &str, weight: u32) -> Value {
    json!({"name": name, "key_sha256": [settings::hash_api_key(name)], "default_class": "urgent",
        "classes": ["urgent"], "requests_per_s": 9, "requests_in_flight": 9,
        "tokens_in_flight": 9, "weight": weight})
}

pub(crate) fn config(version: u64) -> Config {
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

pub(crate) fn change(name: &str, field: &str, before: &Value, after: &Value) -> Value {
    json!({"list": "accounts", "name": name, "field": field, "before": before, "after": after})
}
