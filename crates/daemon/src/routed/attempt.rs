//! Sends one attempt of a routed request to an upstream and logs its start and failure.

use std::{fmt::Write as _, net::SocketAddr, rc::Rc, time::Duration};

use link::{ConnectionPool, RequestError, Response};
use log::info;
use sched::{Outcome, Symptom};
use settings::Upstream;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use super::call::Call;
use crate::{
    adapter::ResponseKind, config_snapshot::ConfigSnapshot, notices, send_check::may_send,
    shared::Shared,
};

/// Longest idle time of a pooled connection that is reused for a request that may not be repeated.
///
/// The upstream may close an idle connection at any time, and a request lost with it can't be
/// distinguished from one that was executed.
const IDLE_MAX_NON_REPEATABLE: Duration = Duration::from_secs(4);

/// Longest idle time of a pooled connection that is reused for a request that may be repeated.
const IDLE_MAX_REPEATABLE: Duration = Duration::from_secs(12);

/// Sends a call to an upstream and waits for the response headers.
pub(super) async fn send(
    shared: &Shared,
    pool: &Rc<ConnectionPool>,
    call: &Call,
    upstream: &str,
    chosen_us: u64,
    fetch_from: Option<SocketAddr>,
    resume_after: Option<&str>,
) -> Result<Response, Outcome> {
    let snapshot = shared.snapshot.load_full();
    let Some(upstream_settings) = snapshot.config.upstream(upstream) else {
        return Err(Outcome::NotSent);
    };
    let adapter = shared.header_adapter();
    let Some(request) = call.request(adapter, upstream_settings, fetch_from, resume_after) else {
        return Err(Outcome::NotSent);
    };
    let idle_max = if call.kind.is_repeatable() {
        IDLE_MAX_REPEATABLE
    } else {
        IDLE_MAX_NON_REPEATABLE
    };
    let tag = xxh3_64(call.request_id.as_bytes());
    let sent_at = Instant::now();
    let mut response = match pool
        .send(upstream_settings.address, request, idle_max, tag, || {
            may_send(shared, &call.request_id, upstream_settings, chosen_us)
        })
        .await
    {
        Ok(response) => response,
        Err(error) => {
            let outcome = outcome_of(&error);
            record_symptom(shared, upstream_settings, sent_at, &error);
            if outcome == Outcome::NotSent {
                pool.close_idle(upstream_settings.address);
            }
            if outcome == Outcome::LostBeforeAnswer {
                log_loss(call, upstream, None, &error.to_string());
            } else {
                log_failure(call, upstream, &error.to_string());
            }
            return Err(outcome);
        }
    };
    if let (Some(usage), Some(round_trip)) = (&shared.usage, response.connect_time()) {
        usage.record_round_trip(&upstream_settings.region, round_trip);
    }
    let notice = adapter.parse_notice(response.status(), response.headers());
    let started_ms = upstream_settings.started_ms;
    notices::apply(
        shared,
        &call.request_id,
        upstream,
        started_ms,
        sent_at,
        &notice,
    );
    match adapter.classify_response(response.status(), response.headers(), &call.request_id) {
        ResponseKind::Run => Ok(response),
        ResponseKind::UnidentifiedRejection if response.is_on_reused_connection() => {
            log_loss(call, upstream, None, "rejection of an unknown request");
            Err(Outcome::LostBeforeAnswer)
        }
        kind @ (ResponseKind::NotRun
        | ResponseKind::OtherUpstream
        | ResponseKind::UnidentifiedRejection) => {
            log_failure(call, upstream, &format!("{kind:?} {}", response.status()));
            response.mark_refused(tag);
            drain_body(response).await;
            Err(Outcome::Rejected)
        }
        ResponseKind::OtherRequest => {
            log_failure(call, upstream, "answer to another request");
            Err(Outcome::LostBeforeAnswer)
        }
    }
}

/// Counts a request whose first token has arrived for the usage reports.
pub(super) fn count_first_token(shared: &Shared, call: &Call, upstream: &str) {
    if let (Some(usage), Some(account)) = (&shared.usage, &call.account) {
        let snapshot = shared.snapshot.load();
        let region = region_of(&snapshot, upstream);
        usage.record_first_token(shared.held.now_us(), account, region);
    }
}

/// Counts a request that was sent at this time and has run for the usage reports.
pub(super) fn count_sent(shared: &Shared, call: &Call, upstream: &str, sent_at: Instant) {
    if let (Some(usage), Some(account)) = (&shared.usage, &call.account) {
        let snapshot = shared.snapshot.load();
        let region = region_of(&snapshot, upstream);
        usage.record_sent(shared.held.now_us(), account, region, sent_at);
    }
}

/// Returns the region of an upstream; empty if it is gone.
fn region_of<'a>(snapshot: &'a ConfigSnapshot, upstream: &str) -> &'a str {
    let upstream = snapshot.config.upstream(upstream);
    upstream.map_or("", |upstream| upstream.region.as_str())
}

/// Reads the short body of a rejection, so that the connection can be reused.
async fn drain_body(mut response: Response) {
    const DRAIN_MAX_BYTES: usize = 16 * 1024;
    const DRAIN_MAX: Duration = Duration::from_millis(50);
    // A late or broken body doesn't change the outcome; only the connection can't be reused.
    let _ = tokio::time::timeout(DRAIN_MAX, response.read_body(DRAIN_MAX_BYTES)).await;
}

/// Maps a request error to the attempt's outcome.
pub(crate) const fn outcome_of(error: &RequestError) -> Outcome {
    match error {
        RequestError::NotSent(_) | RequestError::Refused(_) | RequestError::Unreachable(_) => {
            Outcome::NotSent
        }
        RequestError::Withheld => Outcome::Withheld,
        RequestError::Lost(_) | RequestError::Unacknowledged(_) => Outcome::LostBeforeAnswer,
    }
}

/// Records what the failure of an attempt says about the reachability of its upstream. Nothing came
/// from the upstream since `silent_since`.
pub(super) fn record_symptom(
    shared: &Shared,
    upstream: &Upstream,
    silent_since: Instant,
    error: &RequestError,
) {
    let symptom = match error {
        RequestError::Refused(_) => Symptom::Refused,
        RequestError::Unreachable(_) | RequestError::Unacknowledged(_) => Symptom::Silent,
        RequestError::NotSent(_) | RequestError::Withheld | RequestError::Lost(_) => return,
    };
    let silent_us = match symptom {
        Symptom::Refused => 0,
        Symptom::Silent | Symptom::Cut => {
            u64::try_from(silent_since.elapsed().as_micros()).unwrap_or(u64::MAX)
        }
    };
    let started_ms = upstream.started_ms;
    shared.with_core(|now_us, core| {
        core.dispatcher
            .record_symptom(now_us, &upstream.name, started_ms, symptom, silent_us);
    });
}

/// Logs the start of an attempt and counts it in the metrics.
pub(super) fn record_start(
    shared: &Shared,
    call: &Call,
    upstream: &str,
    attempt: u32,
    work_tokens: u32,
    fetch_from: Option<SocketAddr>,
) {
    shared.metrics.record_attempt(attempt);
    let now = Instant::now();
    let fetch_from = fetch_from.map_or_else(|| "none".to_owned(), |source| source.to_string());
    info!(
        "attempt: started request={} upstream={upstream} attempt={attempt} rank={} work_tokens={work_tokens} fetch_from={fetch_from} waited_ms={} left_ms={}",
        call.request_id,
        call.rank,
        now.duration_since(call.received_at).as_millis(),
        call.deadline.saturating_duration_since(now).as_millis()
    );
}

/// Logs a failed attempt.
pub(super) fn log_failure(call: &Call, upstream: &str, detail: &str) {
    info!(
        "attempt: failed request={} upstream={upstream} waited_ms={} detail={detail:?}",
        call.request_id,
        call.received_at.elapsed().as_millis()
    );
}

/// Logs an attempt that was lost after it had been sent, with the parts of its prompt and its
/// fingerprint: the upstream may have crashed because of one of them.
pub(super) fn log_loss(call: &Call, upstream: &str, begun_at: Option<Instant>, detail: &str) {
    let mut parts = String::new();
    for part in call.prompt.iter() {
        let separator = if parts.is_empty() { "" } else { "," };
        // Writing to a string can't fail.
        let _ = write!(parts, "{separator}{:016x}", part.id);
    }
    let begun_ms = begun_at.map_or(-1, |at| {
        i64::try_from(at.elapsed().as_millis()).unwrap_or(i64::MAX)
    });
    info!(
        "attempt: lost request={} upstream={upstream} waited_ms={} begun_ms={begun_ms} prompt_parts={parts} fingerprint={:016x} detail={detail:?}",
        call.request_id,
        call.received_at.elapsed().as_millis(),
        call.fingerprint
    );
}
