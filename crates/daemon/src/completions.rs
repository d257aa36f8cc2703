//! Handlers of the OpenAI-compatible completion endpoints.

use std::{rc::Rc, sync::Arc};

use code::Code;
use intake::{Claim, Kind};
use link::ConnectionPool;
use ntex::{
    util::Bytes,
    web::{
        HttpRequest, HttpResponse,
        types::{Payload, State},
    },
};
use sched::{Job, JobId, JobPolicy, LatencyAims, PromptParts, Target};
use wire::{Assembler, Form, Request};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    caller_connections::{CallerConnections, InUse},
    fingerprint::RequestIdentity,
    holds::{Hold, WAIT_MAX},
    input::{
        authenticate, check_headers, check_ready, class_of, discard_body, read_body, request_id,
    },
    progress::Progress,
    refusal::{Refusal, record_refusal},
    relay::Relay,
    shared::Shared,
    sse_body::sse_body,
};

/// Longest body whose values need no memory of their own in the budget.
const SHORT_BODY_BYTES: usize = 64 * 1024;

/// Memory of one value of a body, with its key and the spare room of its list.
const VALUE_BYTES: usize = 96;

/// Serves `/v1/chat/completions`.
pub(crate) async fn chat(
    request: HttpRequest,
    payload: Payload,
    shared: State<Arc<Shared>>,
    pool: State<Rc<ConnectionPool>>,
    connections: State<Rc<CallerConnections>>,
) -> HttpResponse {
    let in_use = connections.begin_request(request.io());
    let response = serve(Form::Chat, request, payload, &shared, &pool).await;
    InUse::until_sent(in_use, response)
}

/// Serves `/v1/completions`.
pub(crate) async fn text(
    request: HttpRequest,
    payload: Payload,
    shared: State<Arc<Shared>>,
    pool: State<Rc<ConnectionPool>>,
    connections: State<Rc<CallerConnections>>,
) -> HttpResponse {
    let in_use = connections.begin_request(request.io());
    let response = serve(Form::Text, request, payload, &shared, &pool).await;
    InUse::until_sent(in_use, response)
}

async fn serve(
    form: Form,
    request: HttpRequest,
    mut payload: Payload,
    shared: &Arc<Shared>,
    pool: &Rc<ConnectionPool>,
) -> HttpResponse {
    let id = shared.next_id();
    let request_id = request_id(shared, id);
    let _pending = shared.pending_work.begin();
    match try_serve(form, &request, &mut payload, shared, pool, id).await {
        Ok(response) => response,
        Err(refusal) => {
            discard_body(shared, &request, &mut payload, refusal.code).await;
            record_refusal(shared, &request_id, &refusal);
            refusal.response(&request_id)
        }
    }
}

/// Validates a request, submits its job to the dispatcher and serves the response.
async fn try_serve(
    form: Form,
    request: &HttpRequest,
    payload: &mut Payload,
    shared: &Arc<Shared>,
    pool: &Rc<ConnectionPool>,
    id: JobId,
) -> Result<HttpResponse, Refusal> {
    let snapshot = shared.snapshot.load_full();
    check_ready(shared, &snapshot)?;
    check_headers(request)?;
    let account = authenticate(&snapshot, request)?;
    let body = read_body(shared, request, payload, &account.name).await?;
    let hold = hold_values(shared, &account.name, &body).await?;
    let parsed = Request::parse(form, &body)
        .map_err(|error| Refusal::new(Code::BadRequest).with_detail(&error.detail))?;
    let class = class_of(&snapshot, account, request, parsed.class())?;
    if !snapshot.serves(parsed.model()) {
        return Err(Refusal::new(Code::UnknownModel).with_detail(&format!("`{}`", parsed.model())));
    }
    let prefix_hash = xxh3_64(parsed.prefix().as_bytes());
    let fingerprint = shared.fingerprint_key.fingerprint(&RequestIdentity {
        account: &account.name,
        method: request.method().as_str(),
        authority: "",
        path_and_query: request.path(),
        prompt_parts: &[],
        body: &body,
    });
    let job = Job {
        id,
        account: account.name.as_str().into(),
        class: class.name.as_str().into(),
        tier: class.tier,
        target: Target::Model(parsed.model().into()),
        prompt_tokens: parsed.prompt_tokens(),
        max_tokens: parsed.max_tokens().unwrap_or(0),
        body_bytes: body.len() as u64,
        prefix_hash,
        aims: LatencyAims::default(),
        deadline_us: shared.clock.now_us() + class.max_wait_ms * 1_000,
        idempotent: true,
        prompt: [].into(),
        prompt_parts: PromptParts::new([prefix_hash, xxh3_64(&body)]).with_request(fingerprint),
        policy: JobPolicy::default(),
    };
    let progress = Progress::new(class, shared.clock.now_us());
    let handle = shared.submit(job);
    let request_id = request_id(shared, id);
    let relay = Relay::new(
        shared.clone(),
        pool.clone(),
        handle,
        parsed,
        request_id,
        progress,
    )
    .with_hold(hold);
    if relay.request().is_stream() {
        respond_stream(relay).await
    } else {
        respond_whole(relay).await
    }
}

/// Holds the memory that the values of a long body take; they may need far more than their text.
async fn hold_values(
    shared: &Arc<Shared>,
    account: &str,
    body: &[u8],
) -> Result<Option<Hold>, Refusal> {
    if !shared.holds.is_limited() || body.len() <= SHORT_BODY_BYTES {
        return Ok(None);
    }
    let values = body.iter().filter(|byte| b",:[{".contains(byte)).count();
    let bytes = (body.len() + values * VALUE_BYTES) as u64;
    let claim = Claim::new(Kind::Kept, account.into(), bytes);
    let holds = &shared.holds;
    holds.reserve(&shared.metrics, claim, WAIT_MAX).await
}

/// Serves the response as server-sent events.
async fn respond_stream(mut relay: Relay) -> Result<HttpResponse, Refusal> {
    // The response headers are sent with the first chunk: until then a refusal can still set its
    // status, and a caller that disconnects is noticed at once.
    let Some(first) = relay.next().await? else {
        return Err(Code::UpstreamError.into());
    };
    let mut response = HttpResponse::Ok();
    response.header("x-request-id", relay.request_id());
    response.header("cache-control", "no-store");
    Ok(response
        .content_type("text/event-stream")
        .streaming(sse_body(relay, first)))
}

/// Serves the response as one JSON body, assembled from all chunks.
async fn respond_whole(mut relay: Relay) -> Result<HttpResponse, Refusal> {
    let mut assembler = Assembler::new(relay.request().form());
    while let Some(chunk) = relay.next().await? {
        assembler.push(&chunk);
    }
    let mut response = HttpResponse::Ok();
    response.header("x-request-id", relay.request_id());
    let body = assembler.finish().to_string();
    Ok(response
        .content_type("application/json")
        .body(Bytes::from(body)))
}
