use std::{sync::Arc, time::Duration};

use code::Code;
use log::info;
use ntex::{
    client::Client,
    util::Bytes,
    web::{
        HttpRequest, HttpResponse,
        types::{Payload, State},
    },
};
use sched::{Job, JobId, Outcome, Target};

use crate::{
    attempt::outcome_of,
    core::Decision,
    handle::JobHandle,
    input::{authenticate, check_ready, class_of, read_body, request_id},
    refusal::Refusal,
    shared::Shared,
};

/// Largest answer of a plain service.
const ANSWER_MAX_BYTES: usize = 8 * 1024 * 1024;

/// Call of a plain service.
struct Call<'a> {
    method: ntex::http::Method,
    path: &'a str,
    body: Bytes,
    answer_max: Duration,
}

/// Serves `/services/NAME/...`.
pub(crate) async fn service(
    request: HttpRequest,
    payload: Payload,
    shared: State<Arc<Shared>>,
    client: State<Client>,
) -> HttpResponse {
    let id = shared.next_id();
    let request_id = request_id(&shared, id);
    match answer(&request, payload, &shared, &client, id).await {
        Ok(response) => response,
        Err(refusal) => {
            info!("caller: {request_id} refused with {}", refusal.code);
            refusal.response(&request_id)
        }
    }
}

async fn answer(
    request: &HttpRequest,
    payload: Payload,
    shared: &Arc<Shared>,
    client: &Client,
    id: JobId,
) -> Result<HttpResponse, Refusal> {
    let view = shared.view.load_full();
    check_ready(shared, &view)?;
    let account = authenticate(&view, request)?;
    let rest = request
        .path()
        .strip_prefix("/services/")
        .unwrap_or_default();
    let (name, path) = rest
        .find('/')
        .map_or((rest, "/"), |index| rest.split_at(index));
    let service = view
        .config
        .service(name)
        .ok_or_else(|| Refusal::new(Code::UnknownService))?;
    let class = class_of(&view, account, request, None)?;
    let body = read_body(shared, request, payload).await?;
    let idempotent = !service.is_non_idempotent(request.method().as_str(), path);
    let handle = shared.submit(Job {
        id,
        account: account.name.as_str().into(),
        class: class.name.as_str().into(),
        tier: class.tier,
        target: Target::Service(name.into()),
        prompt_tokens: 0,
        max_tokens: 0,
        body_bytes: body.len() as u64,
        prefix_hash: 0,
        deadline_us: shared.clock.now_us() + class.max_wait_ms * 1_000,
        idempotent,
    });
    let call = Call {
        method: request.method().clone(),
        path,
        body,
        answer_max: Duration::from_millis(service.answer_max_ms),
    };
    send(shared, client, handle, &call).await
}

async fn send(
    shared: &Arc<Shared>,
    client: &Client,
    mut handle: JobHandle,
    call: &Call<'_>,
) -> Result<HttpResponse, Refusal> {
    loop {
        match handle.decision().await {
            Decision::Start { upstream, .. } => {
                match attempt(shared, client, &upstream, call).await {
                    Ok(response) => {
                        handle.finish(Outcome::Complete);
                        return Ok(response);
                    }
                    Err(outcome) => handle.finish(outcome),
                }
            }
            Decision::Refuse {
                code,
                retry_after_ms,
            } => {
                return Err(Refusal::new(code).with_retry_after_ms(retry_after_ms));
            }
            Decision::Cancel => {}
        }
    }
}

async fn attempt(
    shared: &Shared,
    client: &Client,
    upstream: &str,
    call: &Call<'_>,
) -> Result<HttpResponse, Outcome> {
    // The decision may be from before a pause of this process.
    shared.peers.freshness.wait(shared.clock).await;
    let view = shared.view.load_full();
    let upstream = view.config.upstream(upstream).ok_or(Outcome::NotSent)?;
    let url = format!("http://{}{}", upstream.address, call.path);
    let exchange = async {
        let request = client.request(call.method.clone(), url);
        let sent = request.send_body(call.body.clone()).await;
        let response = sent.map_err(|error| outcome_of(&error))?;
        let body = response.body().limit(ANSWER_MAX_BYTES).await;
        let body = body.map_err(|_| Outcome::LostBeforeAnswer)?;
        let mut answer = HttpResponse::build(response.status());
        if let Some(kind) = response.header("content-type") {
            answer.header("content-type", kind.clone());
        }
        Ok(answer.body(body))
    };
    tokio::time::timeout(call.answer_max, exchange)
        .await
        .unwrap_or(Err(Outcome::LostBeforeAnswer))
}
