//! Check of an attempt immediately before its request is sent.

use log::warn;
use settings::Upstream;

use crate::shared::Shared;

/// Returns whether a request may be sent to an upstream that was chosen for it at `chosen_us`.
///
/// One that is sent although this host knows that the upstream leaves is logged and counted.
pub(crate) fn may_send(
    shared: &Shared,
    request_id: &str,
    upstream: &Upstream,
    chosen_us: u64,
) -> bool {
    let name = &upstream.name;
    let (now_us, is_allowed, departure) = shared.with_core(|now_us, core| {
        let dispatcher = &core.dispatcher;
        let is_allowed = dispatcher.accepts_attempt(upstream);
        let departure = dispatcher.known_departure(name, upstream.started_ms);
        (now_us, is_allowed, departure)
    });
    if let Some(departure) = departure.filter(|_| is_allowed) {
        shared.metrics.record_sent_after_leaving();
        warn!(
            "attempt: sent after leaving request={request_id} upstream={name} known_ms={} chosen_ms={} source={}",
            now_us.saturating_sub(departure.since_us) / 1_000,
            now_us.saturating_sub(chosen_us) / 1_000,
            departure.source.name()
        );
    }
    is_allowed
}

#[cfg(test)]
#[path = "send_check_tests.rs"]
mod tests;
