use std::{rc::Rc, sync::Arc};

use bytes::Bytes;
use code::{Code, Run};
use link::{ConnectionPool, HeaderMap, StatusCode};
use log::info;
use ntex::web::HttpResponse;
use sched::Outcome;
use tokio::time::timeout_at;

use super::{
    attempt::{self, note_failure, note_start},
    call::Call,
    reply,
};
use crate::{core::Decision, handle::JobHandle, refusal::Refusal, shared::Shared};

/// Largest answer that is read whole.
const ANSWER_MAX_BYTES: usize = 16 * 1024 * 1024;

/// Whole answer of an upstream.
struct Whole {
    upstream: Arc<str>,
    attempt: u32,
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// Serves a call whose answer is read whole, so that a broken one never reaches the caller.
pub(super) async fn serve(
    shared: &Arc<Shared>,
    links: &Rc<ConnectionPool>,
    call: &Call,
    mut handle: JobHandle,
) -> Result<HttpResponse, Refusal> {
    let mut sent = false;
    let exchange = exchange(shared, links, call, &mut handle, &mut sent);
    let whole = match timeout_at(call.until, exchange).await {
        Ok(result) => result?,
        Err(_) if sent => return Err(Code::UpstreamTimeout.into()),
        Err(_) => return Err(Code::DeadlinePassed.into()),
    };
    info!(
        "caller: answered request={} upstream={} attempt={} status={} bytes={} waited_ms={}",
        call.request_id,
        whole.upstream,
        whole.attempt,
        whole.status.as_u16(),
        whole.body.len(),
        call.arrived.elapsed().as_millis()
    );
    let mut response = reply::begin(shared, whole.status, &whole.headers);
    Ok(response.body(ntex::util::Bytes::copy_from_slice(&whole.body)))
}

async fn exchange(
    shared: &Arc<Shared>,
    links: &Rc<ConnectionPool>,
    call: &Call,
    handle: &mut JobHandle,
    sent: &mut bool,
) -> Result<Whole, Refusal> {
    // Error answer of an earlier attempt, for the caller if no other attempt does better.
    let mut kept = None;
    loop {
        match handle.decision().await {
            Decision::Start {
                upstream,
                attempt,
                work_tokens,
                ..
            } => {
                note_start(shared, call, &upstream, attempt, work_tokens);
                *sent = true;
                match try_upstream(shared, links, call, upstream, attempt).await {
                    Ok(whole) if whole.status.is_server_error() && call.kind.is_repeatable() => {
                        kept = Some(whole);
                        handle.finish(Outcome::Failed);
                    }
                    Ok(whole) => {
                        handle.finish(Outcome::Complete);
                        return Ok(whole);
                    }
                    Err(outcome) => {
                        *sent = outcome == Outcome::LostBeforeAnswer;
                        handle.finish(outcome);
                    }
                }
            }
            Decision::Refuse {
                code,
                retry_after_ms,
            } => {
                let refusal = Refusal::new(code);
                return match kept {
                    Some(whole) => Ok(whole),
                    None if code.run() == Run::No => {
                        Err(refusal.with_retry_after_ms(retry_after_ms))
                    }
                    None => Err(refusal),
                };
            }
            // Routed calls are not preempted; a decision to start follows all the same.
            Decision::Cancel => shared.metrics.preempted(),
        }
    }
}

async fn try_upstream(
    shared: &Shared,
    links: &Rc<ConnectionPool>,
    call: &Call,
    upstream: Arc<str>,
    attempt: u32,
) -> Result<Whole, Outcome> {
    let mut answer = attempt::send(shared, links, call, &upstream, None).await?;
    let body = answer.read_body(ANSWER_MAX_BYTES).await.map_err(|error| {
        note_failure(call, &upstream, &error.to_string());
        Outcome::LostBeforeAnswer
    })?;
    Ok(Whole {
        upstream,
        attempt,
        status: answer.status(),
        headers: answer.headers().clone(),
        body,
    })
}
