//! Applies what upstreams say of themselves in their answers.

use std::time::Duration;

use log::{info, warn};
use sched::PAUSE_MAX_US;
use tokio::time::Instant;

use crate::{adapter::UpstreamNotice, shared::Shared};

/// Longest text of an invalid pause that is logged.
const LOGGED_TEXT_MAX_CHARS: usize = 40;

/// Applies a notice in the answer to a request, which the upstream instance that started at
/// `started_ms` was sent at `sent_at`.
pub(crate) fn apply(
    shared: &Shared,
    request_id: &str,
    upstream: &str,
    started_ms: Option<u64>,
    sent_at: Instant,
    notice: &UpstreamNotice,
) {
    let age_ms = sent_at.elapsed().as_millis();
    if notice.leaving {
        let is_new = shared.with_core(|now_us, core| {
            core.dispatcher
                .set_instance_leaving(now_us, upstream, started_ms)
        });
        if is_new {
            shared.metrics.record_upstream_departure();
            if let Some(started_ms) = started_ms {
                let now_us = shared.clock.now_us();
                shared.peers.with(|membership| {
                    membership.add_leaving_instance(now_us, upstream, started_ms);
                });
            }
            info!("upstream: leaves name={upstream} request={request_id} sent_ms_ago={age_ms}");
        }
    }
    if let Some(text) = &notice.invalid_pause {
        let text: String = text.chars().take(LOGGED_TEXT_MAX_CHARS).collect();
        warn!("upstream: invalid pause name={upstream} request={request_id} retry_after={text:?}");
    }
    if let Some(pause) = notice.pause.filter(|pause| !pause.is_zero()) {
        let granted = pause.min(Duration::from_micros(PAUSE_MAX_US));
        let pause_us = u64::try_from(granted.as_micros()).unwrap_or(PAUSE_MAX_US);
        shared.with_core(|now_us, core| {
            core.dispatch(now_us, |dispatcher, actions| {
                dispatcher.pause_upstream(now_us, upstream, started_ms, pause_us, actions);
            });
        });
        shared.metrics.record_upstream_pause();
        info!(
            "upstream: pauses name={upstream} request={request_id} sent_ms_ago={age_ms} \
             asked_ms={} granted_ms={}",
            pause.as_millis(),
            granted.as_millis()
        );
    }
}
