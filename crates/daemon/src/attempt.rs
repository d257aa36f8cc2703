//! Attempt to serve a model request on one engine: sends it and reads the event stream.

use std::{collections::VecDeque, rc::Rc, time::Duration};

use link::{ConnectionPool, Full, Method, Request, Response, StatusCode, header};
use sched::Outcome;
use settings::Upstream;
use tokio::time::{Instant, timeout, timeout_at};
use wire::{Form, SseDecoder};

use crate::{
    adapter::UpstreamNotice,
    answer::EVENT_MAX_BYTES,
    routed::outcome_of,
    services::{IDLE_MAX, UNTAGGED},
};

/// Time limit for the first event of an engine.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_mins(1);

/// Time limit between two events of an engine; a frozen engine is abandoned after it.
const EVENT_GAP_TIMEOUT: Duration = Duration::from_secs(5);

/// Time limit for the end of the body after the last event.
const BODY_END_TIMEOUT: Duration = Duration::from_millis(100);

/// Largest body of an error response, which describes the error in some lines.
const ERROR_MAX_BYTES: usize = 16 * 1024;

/// Event stream of one attempt; dropping it closes the connection.
pub(crate) struct Attempt {
    response: Response,
    decoder: SseDecoder,
    events: VecDeque<String>,
    has_events: bool,
}

/// Failure of an attempt before its event stream started.
pub(crate) struct AttemptError {
    pub(crate) outcome: Outcome,
    pub(crate) detail: String,
    pub(crate) notice: UpstreamNotice,
}

impl Attempt {
    /// Sends a request, if `may_send` still allows it then, and waits for the response headers.
    pub(crate) async fn open<F>(
        pool: &Rc<ConnectionPool>,
        upstream: &Upstream,
        form: Form,
        request_id: &str,
        body: String,
        may_send: F,
    ) -> Result<Self, AttemptError>
    where
        F: Fn() -> bool,
    {
        let request = Request::builder()
            .method(Method::POST)
            .uri(form.path())
            .header(header::HOST, upstream.address.to_string())
            .header("x-request-id", request_id)
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::from(body))
            .map_err(|error| AttemptError::new(Outcome::NotSent, &error.to_string()))?;
        let sent = pool.send(upstream.address, request, IDLE_MAX, UNTAGGED, may_send);
        let mut response = match timeout(FIRST_EVENT_TIMEOUT, sent).await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) => {
                return Err(AttemptError::new(outcome_of(&error), &error.to_string()));
            }
            Err(_) => return Err(AttemptError::new(Outcome::LostBeforeAnswer, "timeout")),
        };
        let header_text = |name: &str| response.headers().get(name)?.to_str().ok();
        if header_text("x-request-id").is_some_and(|echoed_id| echoed_id != request_id) {
            return Err(AttemptError::new(
                Outcome::LostBeforeAnswer,
                "answer to another request",
            ));
        }
        match response.status() {
            StatusCode::OK => Ok(Self {
                response,
                decoder: SseDecoder::default(),
                events: VecDeque::new(),
                has_events: false,
            }),
            status @ (StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS) => {
                let notice = notice_of(status, header_text("retry-after"));
                let error = AttemptError::new(Outcome::Rejected, "upstream is busy");
                Err(AttemptError { notice, ..error })
            }
            status => {
                let body = timeout(EVENT_GAP_TIMEOUT, response.read_body(ERROR_MAX_BYTES)).await;
                let body = match body {
                    Ok(Ok(body)) => String::from_utf8_lossy(&body).into_owned(),
                    Ok(Err(error)) => error.to_string(),
                    Err(_) => "timeout".to_owned(),
                };
                let detail = format!("status {status}: {body}");
                Err(AttemptError::new(Outcome::Failed, &detail))
            }
        }
    }

    /// Waits for the next event; `None` if the connection was lost or a time limit passed.
    pub(crate) async fn next(&mut self) -> Option<String> {
        let limit = if self.has_events {
            EVENT_GAP_TIMEOUT
        } else {
            FIRST_EVENT_TIMEOUT
        };
        // Bytes that are no event don't prolong the wait.
        let give_up_at = Instant::now() + limit;
        loop {
            if let Some(event) = self.events.pop_front() {
                self.has_events = true;
                return Some(event);
            }
            let bytes = timeout_at(give_up_at, self.response.next_chunk())
                .await
                .ok()?
                .ok()??;
            let mut events = Vec::new();
            self.decoder.push(&bytes, &mut events);
            self.events.extend(events);
            if self.decoder.pending_bytes() > EVENT_MAX_BYTES {
                return None;
            }
        }
    }

    /// Reads the end of the response body, so that the connection can be reused.
    ///
    /// The end normally follows the last event at once; otherwise the connection is closed.
    pub(crate) async fn finish(mut self) {
        let rest = async { while let Ok(Some(_)) = self.response.next_chunk().await {} };
        let _ = timeout(BODY_END_TIMEOUT, rest).await;
    }
}

impl AttemptError {
    fn new(outcome: Outcome, detail: &str) -> Self {
        Self {
            outcome,
            detail: detail.to_owned(),
            notice: UpstreamNotice::default(),
        }
    }
}

/// Returns the pause that an upstream asks for with the status and `Retry-After` of its answer.
pub(crate) fn notice_of(status: StatusCode, retry_after: Option<&str>) -> UpstreamNotice {
    match retry_after {
        Some(text) if status == StatusCode::SERVICE_UNAVAILABLE => {
            UpstreamNotice::default().with_pause(text)
        }
        _ => UpstreamNotice::default(),
    }
}
