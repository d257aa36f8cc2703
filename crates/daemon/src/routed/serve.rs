//! Entry point of routed requests: checks a request, submits its job and serves the call.

use std::{cell::RefCell, rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use code::Code;
use link::{ConnectionPool, HeaderMap, header::HeaderValue};
use log::info;
use ntex::web::{
    HttpRequest, HttpResponse,
    types::{Payload, State},
};
use sched::{Job, JobPolicy, LatencyAims, PromptParts, Target};
use settings::{CallerLimits, Route};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use super::{
    buffered,
    call::{Call, remove_connection_headers},
    reply, stream,
};
use crate::{
    adapter::RequestMetadata,
    caller_connections::{CallerConnections, InUse},
    config_snapshot::ConfigSnapshot,
    fingerprint::RequestIdentity,
    holds,
    input::{BodyOwner, discard_body, read_body_within},
    refusal::Refusal,
    shared::Shared,
};

/// `Retry-After` of refusals without an estimate: a configuration or an upstream is usually
/// available by then.
const RETRY_AFTER_MS: u64 = 300;

/// `Retry-After` while this host drains; short, because the caller's next connection reaches
/// another host.
pub(super) const DRAINING_RETRY_AFTER_MS: u64 = 20;

/// Number of route tiers that are distinguished within the rank of one client account.
const ROUTE_TIERS: u8 = 3;

/// Part of the caller's time for which its body may wait for memory: one in so many.
const WAIT_PART: u32 = 4;

/// Rejections by upstreams after which a request is refused; each one costs a round trip.
const REJECTIONS_MAX: u32 = 3;

/// Serves a routed request.
pub(crate) async fn serve(
    request: HttpRequest,
    payload: Payload,
    shared: State<Arc<Shared>>,
    pool: State<Rc<ConnectionPool>>,
    connections: State<Rc<CallerConnections>>,
) -> HttpResponse {
    let in_use = connections.begin_request(request.io());
    let response = respond(request, payload, &shared, &pool).await;
    InUse::until_sent(in_use, response)
}

/// Returns the response to a routed request.
async fn respond(
    request: HttpRequest,
    mut payload: Payload,
    shared: &Arc<Shared>,
    pool: &Rc<ConnectionPool>,
) -> HttpResponse {
    let received_at = Instant::now();
    let _pending = shared.pending_work.begin();
    let mut headers = copy_headers(&request);
    let metadata = shared.header_adapter().parse_request(&headers);
    let result = match metadata {
        Ok(metadata) => {
            remove_connection_headers(&mut headers);
            let request_id = metadata.request_id.clone();
            let served = try_serve(
                &request,
                headers,
                metadata,
                &mut payload,
                shared,
                pool,
                received_at,
            )
            .await;
            served.map_err(|refusal| (refusal, request_id))
        }
        Err(malformed) => {
            let refusal = Refusal::new(Code::BadRequest).with_detail(&malformed.0);
            Err((refusal, String::new()))
        }
    };
    match result {
        Ok(response) => response,
        Err((refusal, request_id)) => {
            discard_body(shared, &request, &mut payload, refusal.code).await;
            info!(
                "caller: refused request={request_id} code={} retry_after_ms={} waited_ms={} detail={:?}",
                refusal.code,
                refusal.retry_after_ms,
                received_at.elapsed().as_millis(),
                refusal.detail
            );
            shared
                .metrics
                .record_refusal(refusal.code.number(), refusal.code.name());
            reply::refuse(shared, &refusal, &request_id)
        }
    }
}

/// Validates a request, submits its job to the dispatcher and serves the call.
async fn try_serve(
    request: &HttpRequest,
    headers: HeaderMap,
    metadata: RequestMetadata,
    payload: &mut Payload,
    shared: &Arc<Shared>,
    pool: &Rc<ConnectionPool>,
    received_at: Instant,
) -> Result<HttpResponse, Refusal> {
    let snapshot = shared.snapshot.load_full();
    if snapshot.config.version == 0 {
        return Err(Refusal::new(Code::NoConfig).with_retry_after_ms(RETRY_AFTER_MS));
    }
    if shared.is_closing() {
        return Err(Refusal::new(Code::Draining).with_retry_after_ms(DRAINING_RETRY_AFTER_MS));
    }
    let limits = snapshot.config.caller_limits.unwrap_or_default();
    check_headers(&headers, &limits)?;
    let host = headers.get("host").and_then(|host| host.to_str().ok());
    let host = host.unwrap_or_default();
    let route = snapshot.config.route(host, request.path()).ok_or_else(|| {
        let (path, version) = (request.path(), snapshot.config.version);
        let detail = format!("host {host} path {path} version {version}");
        Refusal::new(Code::UnknownPath).with_detail(&detail)
    })?;
    let account = account_of(&snapshot, route, &metadata)?;
    let rank = rank_of(&snapshot, route, account.as_ref());
    let wait = metadata.deadline.map_or(holds::WAIT_MAX, |deadline| {
        holds::WAIT_MAX.min(deadline / WAIT_PART)
    });
    let owner = BodyOwner {
        account: account.clone().unwrap_or_else(|| "".into()),
        rank,
        wait,
    };
    let body = read_body_within(shared, request, payload, limits.body_max_bytes, owner).await?;
    let id = shared.next_id();
    let prompt_parts: Vec<u64> = metadata.prompt.iter().map(|part| part.id).collect();
    let fingerprint = shared.fingerprint_key.fingerprint(&RequestIdentity {
        account: account.as_deref().unwrap_or_default(),
        method: request.method().as_str(),
        authority: host,
        path_and_query: path_and_query(request),
        prompt_parts: &prompt_parts,
        body: &body,
    });
    let parts = PromptParts::new(prompt_parts).with_request(fingerprint);
    let job = build_job(route, account.as_ref(), &metadata, id, body.len(), parts)?;
    let call = build_call(
        request,
        headers,
        metadata,
        route,
        rank,
        &job,
        account,
        body,
        received_at,
    );
    info!(
        "caller: accepted request={} job={} route={} account={} rank={} tier={} version={} left_ms={} prompt_tokens={}",
        call.request_id,
        id.0,
        call.route,
        call.account.as_deref().unwrap_or("-"),
        call.rank,
        job.tier,
        snapshot.config.version,
        call.deadline
            .saturating_duration_since(received_at)
            .as_millis(),
        job.prompt_tokens
    );
    let mut job = job;
    let elapsed_us = micros(received_at.elapsed());
    let received_us = shared.clock.now_us().saturating_sub(elapsed_us);
    job.deadline_us = received_us + micros(call.deadline - received_at);
    job.aims = LatencyAims::new(
        received_us + route.target_ms * 1_000,
        route.event_gap_ms * 1_000,
    );
    // Its body may have arrived long after its head.
    if shared.outlasts_drain(job.deadline_us) {
        return Err(Refusal::new(Code::Draining).with_retry_after_ms(DRAINING_RETRY_AFTER_MS));
    }
    let handle = shared.submit(job);
    drop(snapshot);
    if call.kind.is_stream() {
        stream::serve(shared, pool, call, handle, request.io().cloned()).await
    } else {
        buffered::serve(shared, pool, &call, handle, request.io().cloned()).await
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// Returns the path and the query of a request, unchanged.
fn path_and_query(request: &HttpRequest) -> &str {
    let uri = request.uri().path_and_query();
    uri.map_or_else(|| request.path(), |uri| uri.as_str())
}

/// Copies the headers of a request into the map that is forwarded to upstreams.
fn copy_headers(request: &HttpRequest) -> HeaderMap {
    let mut headers = HeaderMap::with_capacity(request.headers().len() + 6);
    for (name, value) in request.headers() {
        if let Ok(value) = HeaderValue::from_bytes(value.as_bytes()) {
            headers.append(name.clone(), value);
        }
    }
    headers
}

fn check_headers(headers: &HeaderMap, limits: &CallerLimits) -> Result<(), Refusal> {
    // Each line also has ": " between name and value, and ends with CRLF.
    let bytes: usize = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + 4)
        .sum();
    if bytes > limits.header_max_bytes {
        return Err(Code::HeadersTooLarge.into());
    }
    Ok(())
}

/// Returns the client account of a request; `None` on a public route or if the configuration has no
/// accounts.
fn account_of(
    snapshot: &ConfigSnapshot,
    route: &Route,
    metadata: &RequestMetadata,
) -> Result<Option<Arc<str>>, Refusal> {
    if route.public || snapshot.config.accounts.is_empty() {
        return Ok(None);
    }
    let key = metadata.api_key.as_deref();
    let account = key.and_then(|key| snapshot.account_of_key(key));
    let account = account.ok_or(Code::UnknownKey)?;
    Ok(Some(account.name.as_str().into()))
}

/// Returns the rank of a request in the engines' own queues; the tier of its client account takes
/// precedence over the tier of its route.
fn rank_of(snapshot: &ConfigSnapshot, route: &Route, account: Option<&Arc<str>>) -> u8 {
    let account = account.and_then(|name| snapshot.config.account(name));
    let account_rank = account.and_then(|account| account.tier).unwrap_or(0);
    let route_rank = route.tier.min(ROUTE_TIERS - 1);
    account_rank
        .saturating_mul(ROUTE_TIERS)
        .saturating_add(route_rank)
}

/// Builds the dispatcher's job; its deadline and targets are set when the job is submitted.
fn build_job(
    route: &Route,
    account: Option<&Arc<str>>,
    metadata: &RequestMetadata,
    id: sched::JobId,
    body_bytes: usize,
    prompt_parts: PromptParts,
) -> Result<Job, Refusal> {
    let number = xxh3_64(metadata.request_id.as_bytes());
    let service = route
        .service(number)
        .ok_or_else(|| Refusal::new(Code::NoUpstream).with_retry_after_ms(RETRY_AFTER_MS))?;
    let prompt_tokens = metadata.prompt.iter().map(|part| part.tokens).sum();
    Ok(Job {
        id,
        account: account.cloned().unwrap_or_else(|| "".into()),
        class: route.name.as_str().into(),
        tier: route.tier,
        target: Target::Service(service.into()),
        prompt_tokens,
        max_tokens: metadata.output_tokens_max,
        body_bytes: body_bytes as u64,
        prefix_hash: 0,
        aims: LatencyAims::default(),
        deadline_us: 0,
        idempotent: route.kind.is_repeatable(),
        prompt: metadata.prompt.clone(),
        prompt_parts,
        policy: JobPolicy {
            attempts_max: route.attempts_max,
            rejections_max: REJECTIONS_MAX,
            unsent_max: JobPolicy::default().unsent_max,
            retries_errors: route.kind.is_repeatable(),
            preemptable: false,
        },
    })
}

/// Builds the call that is sent to upstreams.
#[expect(clippy::too_many_arguments, reason = "builds one value from its parts")]
fn build_call(
    request: &HttpRequest,
    headers: HeaderMap,
    metadata: RequestMetadata,
    route: &Route,
    rank: u8,
    job: &Job,
    account: Option<Arc<str>>,
    body: Bytes,
    received_at: Instant,
) -> Call {
    let timeout = Duration::from_millis(route.timeout_ms);
    let limit = metadata
        .deadline
        .map_or(timeout, |deadline| deadline.min(timeout));
    Call {
        request_id: metadata.request_id,
        route: route.name.clone(),
        kind: route.kind,
        method: request.method().clone(),
        path_and_query: path_and_query(request).to_owned(),
        headers,
        body: RefCell::new(Some(body)),
        account,
        rank,
        prompt: job.prompt.clone(),
        fingerprint: job.prompt_parts.request().unwrap_or(0),
        received_at,
        deadline: received_at + limit,
    }
}
