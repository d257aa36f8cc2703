//! Status of the duties for operators.

use serde_json::{Value, json};

use crate::shared::Shared;

/// Returns who holds the duties as far as this host knows, and the last calls of this host; `null`
/// on a deployment without duties.
pub(crate) fn status(shared: &Shared) -> Value {
    let Some(duties) = &shared.host.duties else {
        return Value::Null;
    };
    let duty_hold = &shared.held;
    let now_us = duty_hold.now_us();
    let hold = duty_hold.current();
    let known = shared.usage.as_ref().and_then(|counter| {
        counter.with(now_us, |_, usage| {
            let holder = usage.holder()?;
            Some((holder.host.clone(), holder.token))
        })
    });
    let (holder, token) = match (&hold, known) {
        (Some(hold), _) => (Some(shared.host.name.clone()), Some(hold.token)),
        (None, Some((host, token))) => (Some(host), Some(token)),
        (None, None) => (None, None),
    };
    let calls: Vec<Value> = duties
        .kinds
        .iter()
        .map(|kind| {
            let last = duty_hold.last_call(*kind);
            json!({
                "duty": kind.name(),
                "last_result": last.map(|call| call.result.name()),
                "last_call_ms_ago": last.map(|call| now_us.saturating_sub(call.at_us) / 1_000),
            })
        })
        .collect();
    json!({
        "holder": holder,
        "token": token,
        "held_here": hold.is_some(),
        "held_ms": hold.map(|hold| now_us.saturating_sub(hold.since_us) / 1_000),
        "calls": calls,
    })
}
