//! Serves routed requests whose response is read completely before it is forwarded.

use std::{net::SocketAddr, rc::Rc, sync::Arc};

use bytes::Bytes;
use code::Run;
use link::{ConnectionPool, HeaderMap, Response, StatusCode};
use log::info;
use ntex::{io::IoRef, web::HttpResponse};
use sched::Outcome;
use tokio::time::Instant;

use super::{
    attempt::{self, log_loss, record_start},
    call::Call,
    limits::within_limits,
    passed_on::{self, PassedOn},
    progress::Progress,
    reply,
};
use crate::{
    answer::{self, Answer},
    core::Decision,
    handle::JobHandle,
    holds::Hold,
    refusal::Refusal,
    response_body::response_body,
    shared::Shared,
};

/// Largest response body that is buffered.
const RESPONSE_MAX_BYTES: usize = 16 * 1024 * 1024;

/// Complete response of an upstream.
struct BufferedResponse {
    upstream: Arc<str>,
    attempt: u32,
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
    hold: Option<Hold>,
}

/// Response of an upstream.
enum Exchanged {
    Buffered(BufferedResponse),
    /// Its body has begun and is passed on as it arrives.
    Begun(Response, Bytes, Option<Hold>),
}

/// Serves a call whose response is buffered, so that a truncated one never reaches the caller.
pub(super) async fn serve(
    shared: &Arc<Shared>,
    pool: &Rc<ConnectionPool>,
    call: &Call,
    mut handle: JobHandle,
    caller: Option<IoRef>,
) -> Result<HttpResponse, Refusal> {
    let mut progress = Progress::default();
    let id = handle.id();
    let exchange = exchange(shared, pool, call, &mut handle, &mut progress);
    let buffered = match within_limits(shared, id, call.deadline, exchange).await {
        Ok(result) => match result? {
            Exchanged::Buffered(buffered) => buffered,
            Exchanged::Begun(response, begun, begun_hold) => {
                let hold =
                    passed_on::hold_buffers(shared, call, begun_hold, caller.clone()).await?;
                let passed_on = PassedOn {
                    response,
                    begun,
                    handle,
                    request_id: call.request_id.clone(),
                    deadline: call.deadline,
                    caller,
                    hold,
                };
                return Ok(passed_on.reply(shared));
            }
        },
        Err(unanswered) => match progress.error_response {
            Some(buffered) => buffered,
            None => return Err(unanswered.refusal(progress.maybe_executed)),
        },
    };
    info!(
        "caller: answered request={} upstream={} attempt={} status={} bytes={} waited_ms={}",
        call.request_id,
        buffered.upstream,
        buffered.attempt,
        buffered.status.as_u16(),
        buffered.body.len(),
        call.received_at.elapsed().as_millis()
    );
    let mut reply = reply::start(shared, buffered.status, &buffered.headers);
    Ok(reply.message_body(response_body(shared, buffered.body, buffered.hold, caller)))
}

/// Makes attempts until one has a complete response or the dispatcher refuses the job.
async fn exchange(
    shared: &Arc<Shared>,
    pool: &Rc<ConnectionPool>,
    call: &Call,
    handle: &mut JobHandle,
    progress: &mut Progress<BufferedResponse>,
) -> Result<Exchanged, Refusal> {
    let mut is_counted = false;
    loop {
        match handle.decision().await {
            Decision::Start {
                upstream,
                attempt,
                chosen_us,
                work_tokens,
                fetch_from,
                ..
            } => {
                record_start(shared, call, &upstream, attempt, work_tokens, fetch_from);
                progress.record_start();
                let sent_at = Instant::now();
                let tried = try_upstream(
                    shared,
                    pool,
                    call,
                    upstream.clone(),
                    attempt,
                    chosen_us,
                    fetch_from,
                )
                .await;
                if !is_counted && !matches!(tried, Err(outcome) if !may_have_run(outcome)) {
                    is_counted = true;
                    attempt::count_sent(shared, call, &upstream, sent_at);
                }
                match tried {
                    Ok(Exchanged::Buffered(buffered))
                        if buffered.status.is_server_error() && call.kind.is_repeatable() =>
                    {
                        progress.error_response = Some(buffered);
                        handle.finish(Outcome::Failed);
                    }
                    Ok(exchanged) => {
                        if let Exchanged::Buffered(_) = &exchanged {
                            handle.finish(Outcome::Complete);
                        }
                        return Ok(exchanged);
                    }
                    Err(outcome) => {
                        progress.record_failure(outcome);
                        handle.finish(outcome);
                    }
                }
            }
            Decision::Refuse {
                code,
                retry_after_ms,
            } => {
                let refusal = Refusal::new(code);
                return match progress.error_response.take() {
                    Some(buffered) => Ok(Exchanged::Buffered(buffered)),
                    None if code.run() == Run::No => {
                        Err(refusal.with_retry_after_ms(retry_after_ms))
                    }
                    None => Err(refusal),
                };
            }
            // Routed calls are never preempted; the next decision would start a new attempt.
            Decision::Cancel => shared.metrics.record_preemption(),
        }
    }
}

/// Returns whether a request with this outcome may have begun to run.
const fn may_have_run(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::LostBeforeAnswer)
}

/// Sends one attempt and reads its response.
async fn try_upstream(
    shared: &Shared,
    pool: &Rc<ConnectionPool>,
    call: &Call,
    upstream: Arc<str>,
    attempt: u32,
    chosen_us: u64,
    fetch_from: Option<SocketAddr>,
) -> Result<Exchanged, Outcome> {
    let mut response =
        attempt::send(shared, pool, call, &upstream, chosen_us, fetch_from, None).await?;
    if !call.kind.is_repeatable() {
        call.release_body();
    }
    let account = call.account.as_ref();
    let answer = answer::read(
        shared,
        account,
        &call.method,
        &mut response,
        RESPONSE_MAX_BYTES,
    )
    .await;
    let answer = answer.map_err(|error| {
        log_loss(call, &upstream, None, &error.to_string());
        Outcome::LostBeforeAnswer
    })?;
    Ok(match answer {
        Answer::Whole(body, hold) => Exchanged::Buffered(BufferedResponse {
            upstream,
            attempt,
            status: response.status(),
            headers: response.headers().clone(),
            body,
            hold,
        }),
        Answer::Begun(begun, hold) => Exchanged::Begun(response, begun, hold),
    })
}
