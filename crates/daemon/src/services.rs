//! Serves plain services: forwards calls and makes non-idempotent ones repeatable by a key.

use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use claim::{Answer, CallResult, Fingerprint, Record, Reply, parse_key, row_key};
use code::Code;
use link::{ConnectionPool, Full, PoolOptions, Request, Response, header};
use ntex::{
    http::{Method, StatusCode},
    io::IoRef,
    web::{
        HttpRequest, HttpResponse,
        types::{Payload, State},
    },
};
use sched::{Job, JobPolicy, LatencyAims, Outcome, PromptParts, Target};
use settings::Service;
use store::Table;
use tokio::time::Instant;

use crate::{
    answer::read_whole,
    attempt::notice_of,
    caller_connections::{CallerConnections, InUse},
    claimed::run_claimed,
    core::Decision,
    fingerprint::RequestIdentity,
    handle::JobHandle,
    holds::Hold,
    input::{
        authenticate, check_headers, check_ready, class_of, discard_body, read_body, request_id,
    },
    notices,
    refusal::{Refusal, record_refusal},
    response_body::response_body,
    routed::outcome_of,
    send_check::may_send,
    shared::Shared,
};

/// Largest response body of a plain service.
const RESPONSE_MAX_BYTES: usize = 8 * 1024 * 1024;

/// Tag of calls; refusals don't name the call that they refuse.
pub(crate) const UNTAGGED: u64 = 0;

/// Header with which a caller can safely repeat a non-idempotent call.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Request headers that are forwarded to a plain service.
const FORWARDED_HEADERS: [&str; 3] = ["content-type", "accept", IDEMPOTENCY_KEY];

/// Longest idle time of a pooled connection that is reused.
pub(crate) const IDLE_MAX: Duration = Duration::from_secs(12);

/// Connections and table of one worker thread.
#[derive(Clone)]
pub(crate) struct ServiceClients {
    /// Connections for calls that may be repeated.
    pub(crate) pool: Rc<ConnectionPool>,
    /// Platform's table service.
    pub(crate) table: Rc<dyn Table>,
}

/// Answer of a plain service with the memory that is held for it.
struct HeldAnswer {
    answer: Answer,
    hold: Option<Hold>,
}

/// Call to a plain service.
#[derive(Clone)]
struct Call {
    account: Arc<str>,
    method: Method,
    path: String,
    headers: Vec<(&'static str, String)>,
    body: Bytes,
    answer_max: Duration,
    idempotent: bool,
}

/// Serves `/services/NAME/...`.
pub(crate) async fn service(
    request: HttpRequest,
    payload: Payload,
    shared: State<Arc<Shared>>,
    clients: State<ServiceClients>,
    connections: State<Rc<CallerConnections>>,
) -> HttpResponse {
    let in_use = connections.begin_request(request.io());
    let response = respond(request, payload, &shared, &clients).await;
    InUse::until_sent(in_use, response)
}

/// Returns the response to a call.
async fn respond(
    request: HttpRequest,
    mut payload: Payload,
    shared: &Arc<Shared>,
    clients: &ServiceClients,
) -> HttpResponse {
    let id = shared.next_id();
    let request_id = request_id(shared, id);
    let _pending = shared.pending_work.begin();
    match try_serve(&request, &mut payload, shared, clients, id).await {
        Ok(response) => response,
        Err(refusal) => {
            discard_body(shared, &request, &mut payload, refusal.code).await;
            record_refusal(shared, &request_id, &refusal);
            refusal.response(&request_id)
        }
    }
}

/// Validates a call and runs it, under a claim if it is non-idempotent and has a key.
async fn try_serve(
    request: &HttpRequest,
    payload: &mut Payload,
    shared: &Arc<Shared>,
    clients: &ServiceClients,
    id: sched::JobId,
) -> Result<HttpResponse, Refusal> {
    let snapshot = shared.snapshot.load_full();
    check_ready(shared, &snapshot)?;
    check_headers(request)?;
    let account = authenticate(&snapshot, request)?;
    let rest = request
        .path()
        .strip_prefix("/services/")
        .unwrap_or_default();
    let (name, path) = rest
        .find('/')
        .map_or((rest, "/"), |index| rest.split_at(index));
    let service = snapshot
        .config
        .service(name)
        .ok_or_else(|| Refusal::new(Code::UnknownService))?;
    let class = class_of(&snapshot, account, request, None)?;
    let body = read_body(shared, request, payload, &account.name).await?;
    let call = Call::new(request, service, &account.name, path, body);
    let fingerprint = shared.fingerprint_key.fingerprint(&RequestIdentity {
        account: &account.name,
        method: call.method.as_str(),
        authority: name,
        path_and_query: &call.path,
        prompt_parts: &[],
        body: &call.body,
    });
    let job = Job {
        id,
        account: account.name.as_str().into(),
        class: class.name.as_str().into(),
        tier: class.tier,
        target: Target::Service(name.into()),
        prompt_tokens: 0,
        max_tokens: 0,
        body_bytes: call.body.len() as u64,
        prefix_hash: 0,
        aims: LatencyAims::default(),
        deadline_us: shared.clock.now_us() + class.max_wait_ms * 1_000,
        idempotent: call.idempotent,
        prompt: [].into(),
        prompt_parts: PromptParts::default().with_request(fingerprint),
        policy: JobPolicy::default(),
    };
    let key = request.headers().get(IDEMPOTENCY_KEY);
    let (Some(key), false) = (key, call.idempotent) else {
        let answer = send(shared, clients, job, &call).await?;
        return Ok(response(shared, answer, request.io().cloned()));
    };
    let key = key
        .to_str()
        .ok()
        .and_then(parse_key)
        .ok_or_else(|| Refusal::new(Code::BadKey))?;
    let fingerprint = Fingerprint::new(call.method.as_str(), request.path(), &call.body);
    let record = Record::new(
        key,
        &shared.unique_attempt(id),
        &shared.host.name,
        fingerprint,
    );
    let row_key = row_key(&account.name, key);
    let caller = request.io().cloned();
    finish_claimed(shared, clients, job, call, &row_key, record, caller).await
}

/// Runs a claimed call in a separate task: if the caller disconnects, the call still completes and
/// its outcome is recorded for a repetition. A graceful stop waits for the task by means of its
/// guard.
async fn finish_claimed(
    shared: &Arc<Shared>,
    clients: &ServiceClients,
    job: Job,
    call: Call,
    row_key: &str,
    record: Record,
    caller: Option<IoRef>,
) -> Result<HttpResponse, Refusal> {
    let guard = shared.pending_work.begin();
    let (task_shared, clients, row_key) = (shared.clone(), clients.clone(), row_key.to_owned());
    let task = ntex::rt::spawn(async move {
        let answer_max_ms = u64::try_from(call.answer_max.as_millis()).unwrap_or(u64::MAX);
        let mut held = None;
        let send = async || match send(&task_shared, &clients, job, &call).await {
            Ok(answered) => {
                held = answered.hold;
                CallResult::Answered(answered.answer)
            }
            Err(refusal) if refusal.code.run() == code::Run::No => {
                CallResult::NotSent(refusal.code)
            }
            Err(_) => CallResult::Lost,
        };
        let table = clients.table.as_ref();
        let reply = run_claimed(table, &row_key, record, answer_max_ms, send).await;
        drop(guard);
        (reply, held)
    });
    let Ok((reply, hold)) = task.await else {
        return Err(Code::MayHaveRun.into());
    };
    match reply {
        Reply::Answer(answer) => Ok(response(shared, HeldAnswer { answer, hold }, caller)),
        Reply::Replay(answer) => {
            let mut response = response(shared, HeldAnswer { answer, hold }, caller);
            let replayed = ntex::http::header::HeaderValue::from_static("true");
            response.headers_mut().insert(
                ntex::http::header::HeaderName::from_static("idempotency-replayed"),
                replayed,
            );
            Ok(response)
        }
        Reply::Refuse(code) => Err(Refusal::new(code).with_retry_after_ms(1_000)),
    }
}

/// Sends a call to as many upstreams, one after the other, as the dispatcher allows.
async fn send(
    shared: &Arc<Shared>,
    clients: &ServiceClients,
    job: Job,
    call: &Call,
) -> Result<HeldAnswer, Refusal> {
    let id = job.id;
    let handle = shared.submit(job);
    let sent = attempt(shared, clients, handle, call);
    match shared.until_stop_expires(id, sent).await {
        Ok(sent) => sent,
        Err(code) => Err(code.into()),
    }
}

/// Makes attempts until one has an answer or the dispatcher refuses the job.
async fn attempt(
    shared: &Arc<Shared>,
    clients: &ServiceClients,
    mut handle: JobHandle,
    call: &Call,
) -> Result<HeldAnswer, Refusal> {
    let mut decision = handle.decision().await;
    loop {
        decision = match decision {
            Decision::Start {
                upstream,
                attempt,
                chosen_us,
                ..
            } => {
                shared.metrics.record_attempt(attempt);
                tokio::select! {
                    biased;
                    // Only calls that may be repeated are preempted by other work.
                    decision = handle.decision(), if call.idempotent => decision,
                    result = try_upstream(shared, clients, &upstream, chosen_us, call) => {
                        let answer = match result {
                            Ok(answer) => answer,
                            Err(outcome) => {
                                handle.finish(outcome);
                                decision = handle.decision().await;
                                continue;
                            }
                        };
                        handle.finish(Outcome::Complete);
                        return Ok(answer);
                    }
                }
            }
            Decision::Refuse {
                code,
                retry_after_ms,
            } => return Err(Refusal::new(code).with_retry_after_ms(retry_after_ms)),
            Decision::Cancel => {
                shared.metrics.record_preemption();
                handle.decision().await
            }
        };
    }
}

/// Sends a call to one upstream and reads its response.
async fn try_upstream(
    shared: &Shared,
    clients: &ServiceClients,
    upstream: &str,
    chosen_us: u64,
    call: &Call,
) -> Result<HeldAnswer, Outcome> {
    // The decision may date from before a suspension of this process.
    shared.peers.freshness.wait_until_fresh(shared.clock).await;
    let snapshot = shared.snapshot.load_full();
    let upstream = snapshot.config.upstream(upstream).ok_or(Outcome::NotSent)?;
    if !shared.accepts_attempt(upstream) {
        return Err(Outcome::Withheld);
    }
    let sent_at = Instant::now();
    let request = call.request(upstream.address).ok_or(Outcome::NotSent)?;
    // On a pooled connection that the service has just closed, an unsent call can't be distinguished
    // from one that was lost after it was executed.
    let pool = if call.idempotent {
        clients.pool.clone()
    } else {
        ConnectionPool::new(PoolOptions::default())
    };
    let exchange = async {
        let is_allowed = || may_send(shared, "-", upstream, chosen_us);
        let sent = pool.send(upstream.address, request, IDLE_MAX, UNTAGGED, is_allowed);
        let mut response = sent.await.map_err(|error| outcome_of(&error))?;
        let notice = notice_of(response.status(), header_text(&response, "retry-after"));
        let started_ms = upstream.started_ms;
        notices::apply(shared, "-", &upstream.name, started_ms, sent_at, &notice);
        let (account, method) = (&call.account, &call.method);
        let read = read_whole(shared, account, method, &mut response, RESPONSE_MAX_BYTES);
        let (body, hold) = read.await.map_err(|error| outcome_of(&error))?;
        let content_type = header_text(&response, "content-type");
        let answer = Answer {
            status: response.status().as_u16(),
            content_type: content_type.unwrap_or_default().to_owned(),
            body: String::from_utf8(body.into())
                .unwrap_or_else(|error| String::from_utf8_lossy(error.as_bytes()).into_owned()),
        };
        Ok(HeldAnswer { answer, hold })
    };
    let result = tokio::time::timeout(call.answer_max, exchange).await;
    result.unwrap_or(Err(Outcome::LostBeforeAnswer))
}

/// Returns a header of a response, if it is text.
fn header_text<'a>(response: &'a Response, name: &str) -> Option<&'a str> {
    response.headers().get(name)?.to_str().ok()
}

/// Builds the HTTP response of an answer.
fn response(shared: &Shared, answered: HeldAnswer, caller: Option<IoRef>) -> HttpResponse {
    let HeldAnswer { answer, hold } = answered;
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = HttpResponse::build(status);
    if !answer.content_type.is_empty() {
        response.content_type(answer.content_type.as_str());
    }
    response.message_body(response_body(shared, answer.body.into(), hold, caller))
}

impl Call {
    fn new(
        request: &HttpRequest,
        service: &Service,
        account: &str,
        path: &str,
        body: Bytes,
    ) -> Self {
        let header = |name: &'static str| {
            let value = request.headers().get(name)?.to_str().ok()?;
            Some((name, value.to_owned()))
        };
        let path = match request.query_string() {
            "" => path.to_owned(),
            query => format!("{path}?{query}"),
        };
        Self {
            account: account.into(),
            method: request.method().clone(),
            headers: FORWARDED_HEADERS
                .iter()
                .filter_map(|name| header(name))
                .collect(),
            idempotent: !service.is_non_idempotent(request.method().as_str(), &path),
            path,
            body,
            answer_max: Duration::from_millis(service.answer_max_ms),
        }
    }

    /// Returns the request that is sent to an upstream; `None` if it is no valid one.
    fn request(&self, address: SocketAddr) -> Option<Request<Full<Bytes>>> {
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(&self.path)
            .header(header::HOST, address.to_string());
        if !self.idempotent {
            request = request.header(header::CONNECTION, "close");
        }
        for (name, value) in &self.headers {
            request = request.header(*name, value.as_str());
        }
        request.body(Full::from(self.body.clone())).ok()
    }
}
