//! Serves routed requests whose response is an event stream.

use std::{io, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use code::{Code, Run};
use futures::{Stream, StreamExt as _};
use link::{ConnectionPool, RequestError, Response};
use log::info;
use ntex::{io::IoRef, web::HttpResponse};
use sched::Outcome;
use settings::RequestKind;
use tokio::time::{Instant, timeout_at};
use tokio_util::sync::CancellationToken;

use super::{
    attempt::{self, log_failure, log_loss, record_start},
    call::Call,
    events::EventBuffer,
    limits::within_limits,
    progress::Progress,
    reply,
};
use crate::{
    answer::{self, Answer},
    core::Decision,
    handle::JobHandle,
    holds::HeldBody,
    refusal::Refusal,
    response_body::response_body,
    shared::Shared,
};

/// Largest body of an error response to a stream request.
const ERROR_MAX_BYTES: usize = 1024 * 1024;

/// Time to flush the events before a failure: closing the connection drops what is still queued.
const FLUSH_PAUSE: Duration = Duration::from_millis(50);

/// Relays events from one or more upstreams to a caller; dropping it cancels the job.
struct StreamRelay {
    shared: Arc<Shared>,
    pool: Rc<ConnectionPool>,
    call: Call,
    handle: JobHandle,
    upstream: Arc<str>,
    /// Time at which the upstream was chosen.
    chosen_us: u64,
    /// Engine from which the upstream fetches cached parts of the prompt.
    fetch_from: Option<SocketAddr>,
    response: Option<Response>,
    /// Time of the first event of the current attempt.
    begun_at: Option<Instant>,
    /// Time at which something of the current attempt was last received, or it was sent.
    heard_at: Instant,
    events: EventBuffer,
    /// Whether the request was counted as one that began to run.
    is_counted: bool,
}

/// Serves a call whose response is a stream of events.
///
/// The response headers are sent with the first event: until then another upstream can take over
/// the call, a refusal can set its status, and a caller that disconnects is noticed at once.
pub(super) async fn serve(
    shared: &Arc<Shared>,
    pool: &Rc<ConnectionPool>,
    call: Call,
    handle: JobHandle,
    caller: Option<IoRef>,
) -> Result<HttpResponse, Refusal> {
    let deadline = call.deadline;
    let mut relay = StreamRelay {
        shared: shared.clone(),
        pool: pool.clone(),
        call,
        handle,
        upstream: "".into(),
        chosen_us: 0,
        fetch_from: None,
        response: None,
        begun_at: None,
        heard_at: Instant::now(),
        events: EventBuffer::default(),
        is_counted: false,
    };
    let mut progress = Progress::default();
    let id = relay.handle.id();
    let begun = relay.begin(&mut progress);
    let first = match within_limits(shared, id, deadline, begun).await {
        Ok(result) => result?,
        Err(unanswered) => match progress.error_response {
            Some((response, body)) => return Ok(relay.whole_reply(&response, &body)),
            None => return Err(unanswered.refusal(progress.maybe_executed)),
        },
    };
    let Some(response) = &relay.response else {
        return Err(Code::UpstreamLost.into());
    };
    let whole_body = match first {
        FirstPart::Events(first) => {
            let waited_ms = relay.call.received_at.elapsed().as_millis();
            info!(
                "caller: stream begun request={} upstream={} waited_ms={waited_ms}",
                relay.call.request_id, relay.upstream
            );
            let mut reply = reply::start_from(shared, response);
            return Ok(reply.streaming(Box::pin(body(relay, first, caller))));
        }
        FirstPart::Error(body) => body,
        FirstPart::Empty => Bytes::new(),
    };
    let reply = relay.whole_reply(response, &whole_body);
    relay.handle.finish(Outcome::Complete);
    Ok(reply)
}

/// Error response with its body.
type ErrorResponse = (Response, Bytes);

/// First part of an upstream's response.
enum FirstPart {
    /// One or more complete events.
    Events(Bytes),
    /// Complete body of an error response.
    Error(Bytes),
    /// Complete stream without any event.
    Empty,
}

/// Returns the body of the caller's response.
///
/// If the stream fails or a graceful stop uses up its time, the connection is closed here, because
/// ntex would write an error response or the end of the body into the stream. ntex also notices only
/// at the next event that the caller has disconnected, so the disconnect ends the body here.
fn body(
    relay: StreamRelay,
    first: Bytes,
    caller: Option<IoRef>,
) -> impl Stream<Item = Result<ntex::util::Bytes, io::Error>> {
    let disconnected = caller.as_ref().map(IoRef::on_disconnect);
    let disconnected = async move {
        match disconnected {
            Some(disconnected) => disconnected.await,
            None => std::future::pending().await,
        }
    };
    let stopped = break_off_at_stop(
        relay.shared.stop_expired.clone(),
        relay.call.request_id.clone(),
        caller.clone(),
    );
    let ended = futures::future::select(Box::pin(disconnected), Box::pin(stopped));
    let body = futures::stream::unfold((Some(relay), Some(first)), move |(relay, first)| {
        let caller = caller.clone();
        async move {
            let mut relay = relay?;
            if let Some(first) = first {
                return Some((Ok(to_ntex_bytes(&first)), (Some(relay), None)));
            }
            let deadline = relay.call.deadline;
            let next = timeout_at(deadline, relay.next()).await;
            let next = next.unwrap_or(Err(Code::UpstreamTimeout));
            match next {
                Ok(Some(bytes)) => Some((Ok(to_ntex_bytes(&bytes)), (Some(relay), None))),
                Ok(None) => {
                    relay.log_end("complete");
                    None
                }
                Err(code) => {
                    relay.log_end(code.name());
                    if let Some(caller) = caller {
                        tokio::time::sleep(FLUSH_PAUSE).await;
                        caller.terminate();
                    }
                    Some((Err(io::Error::other(code.name())), (None, None)))
                }
            }
        }
    });
    body.take_until(ended)
}

/// Closes the connection to the caller when a graceful stop uses up its time.
async fn break_off_at_stop(
    stop_expired: CancellationToken,
    request_id: String,
    caller: Option<IoRef>,
) {
    stop_expired.cancelled().await;
    info!("caller: stream cut by the end of the drain request={request_id}");
    if let Some(caller) = caller {
        tokio::time::sleep(FLUSH_PAUSE).await;
        caller.terminate();
    }
    // The body ends with the connection.
    std::future::pending::<()>().await;
}

fn to_ntex_bytes(bytes: &[u8]) -> ntex::util::Bytes {
    ntex::util::Bytes::copy_from_slice(bytes)
}

impl StreamRelay {
    /// Returns the reply with a response that isn't passed on as events.
    fn whole_reply(&self, response: &Response, body: &Bytes) -> HttpResponse {
        info!(
            "caller: answered request={} upstream={} status={}",
            self.call.request_id,
            self.upstream,
            response.status().as_u16()
        );
        let body = response_body(&self.shared, body.clone(), None, None);
        reply::start_from(&self.shared, response).message_body(body)
    }

    /// Makes attempts until an upstream has started to respond.
    async fn begin(
        &mut self,
        progress: &mut Progress<ErrorResponse>,
    ) -> Result<FirstPart, Refusal> {
        loop {
            match self.handle.decision().await {
                Decision::Start {
                    upstream,
                    attempt,
                    chosen_us,
                    work_tokens,
                    fetch_from,
                    ..
                } => {
                    record_start(
                        &self.shared,
                        &self.call,
                        &upstream,
                        attempt,
                        work_tokens,
                        fetch_from,
                    );
                    progress.record_start();
                    self.upstream = upstream;
                    self.chosen_us = chosen_us;
                    self.fetch_from = fetch_from;
                    match self.first().await {
                        Ok(FirstPart::Error(body)) if self.may_retry_error() => {
                            progress.error_response = self.response.take().zip(Some(body));
                            self.handle.finish(Outcome::Failed);
                        }
                        Ok(first) => return Ok(first),
                        Err(outcome) => {
                            progress.record_failure(outcome);
                            self.handle.finish(outcome);
                        }
                    }
                }
                Decision::Refuse {
                    code,
                    retry_after_ms,
                } => {
                    if let Some((response, body)) = progress.error_response.take() {
                        self.response = Some(response);
                        return Ok(FirstPart::Error(body));
                    }
                    let refusal = Refusal::new(code);
                    return Err(if code.run() == Run::No {
                        refusal.with_retry_after_ms(retry_after_ms)
                    } else {
                        refusal
                    });
                }
                Decision::Cancel => self.shared.metrics.record_preemption(),
            }
        }
    }

    /// Returns whether the response is a server error and the call may be retried.
    fn may_retry_error(&self) -> bool {
        let status = self.response.as_ref().map(Response::status);
        self.call.kind.is_repeatable() && status.is_some_and(|status| status.is_server_error())
    }

    /// Sends one attempt and returns the first part of its response.
    async fn first(&mut self) -> Result<FirstPart, Outcome> {
        self.begun_at = None;
        self.heard_at = Instant::now();
        let resume_after = self.events.last_id();
        let sending = attempt::send(
            &self.shared,
            &self.pool,
            &self.call,
            &self.upstream,
            self.chosen_us,
            self.fetch_from,
            resume_after.as_deref(),
        );
        let mut response = sending.await?;
        if !response.status().is_success() {
            let (account, method) = (self.call.account.as_ref(), &self.call.method);
            let read = answer::read(
                &self.shared,
                account,
                method,
                &mut response,
                ERROR_MAX_BYTES,
            );
            let answer = read.await;
            self.response = Some(response);
            return match answer {
                Ok(Answer::Whole(body, hold)) => Ok(FirstPart::Error(HeldBody::share(body, hold))),
                Ok(Answer::Begun(..)) | Err(_) => Err(Outcome::LostBeforeAnswer),
            };
        }
        let is_framed = response.is_framed();
        self.response = Some(response);
        self.events.restart();
        match self.read().await {
            Ok(Some(events)) => {
                self.begun_at = Some(Instant::now());
                if self.call.kind != RequestKind::ResumableStream {
                    self.call.release_body();
                }
                self.handle.first_token();
                self.count_begin();
                Ok(FirstPart::Events(events))
            }
            Ok(None) if is_framed => Ok(FirstPart::Empty),
            // Ended with its connection, as if the upstream had failed.
            Ok(None) => {
                self.log_loss("ended before an event");
                Err(Outcome::LostBeforeAnswer)
            }
            Err(()) => Err(Outcome::LostBeforeAnswer),
        }
    }

    /// Returns the next complete events, or `None` at the end of the stream. A broken stream is
    /// resumed on another upstream if its kind allows it.
    async fn next(&mut self) -> Result<Option<Bytes>, Code> {
        match self.read().await {
            Ok(Some(events)) => {
                self.handle.event();
                Ok(Some(events))
            }
            Ok(None) => {
                self.handle.finish(Outcome::Complete);
                Ok(None)
            }
            Err(()) => {
                let resumable = self.call.kind == RequestKind::ResumableStream
                    && self.events.last_id().is_some();
                self.handle.finish(Outcome::LostMidStream { resumable });
                match self.resume().await? {
                    FirstPart::Events(events) => Ok(Some(events)),
                    FirstPart::Error(_) => Err(Code::StreamBroken),
                    // The first upstream failed after its last event.
                    FirstPart::Empty => {
                        self.handle.finish(Outcome::Complete);
                        Ok(None)
                    }
                }
            }
        }
    }

    /// Makes another attempt after the stream broke off, if the dispatcher allows one.
    async fn resume(&mut self) -> Result<FirstPart, Code> {
        let resumed = self.begin(&mut Progress::default()).await;
        resumed.map_err(|refusal| refusal.code)
    }

    /// Reads the next complete events of the current response.
    async fn read(&mut self) -> Result<Option<Bytes>, ()> {
        let Some(response) = self.response.as_mut() else {
            return Err(());
        };
        loop {
            match response.next_chunk().await {
                Ok(Some(chunk)) => {
                    self.heard_at = Instant::now();
                    let events = match self.events.push(chunk) {
                        Ok(events) => events,
                        Err(error) => {
                            log_failure(&self.call, &self.upstream, &error.to_string());
                            // Drops the connection, so that the upstream stops sending.
                            self.response = None;
                            return Err(());
                        }
                    };
                    if !events.is_empty() {
                        return Ok(Some(events));
                    }
                }
                Ok(None) => {
                    let partial = self.events.take_partial();
                    if partial.is_empty() {
                        return Ok(None);
                    }
                    self.log_loss("ended within an event");
                    return Err(());
                }
                Err(error) => {
                    self.log_loss(&error.to_string());
                    self.record_symptom(&error);
                    self.events.take_partial();
                    return Err(());
                }
            }
        }
    }

    /// Counts the request for the usage reports, once also if it goes on at another upstream.
    fn count_begin(&mut self) {
        if !std::mem::replace(&mut self.is_counted, true) {
            attempt::count_first_token(&self.shared, &self.call, &self.upstream);
        }
    }

    /// Records what the loss of the current attempt says about the reachability of its upstream.
    fn record_symptom(&self, error: &RequestError) {
        let snapshot = self.shared.snapshot.load();
        if let Some(upstream) = snapshot.config.upstream(&self.upstream) {
            attempt::record_symptom(&self.shared, upstream, self.heard_at, error);
        }
    }

    /// Logs that the current attempt was lost.
    fn log_loss(&self, detail: &str) {
        log_loss(&self.call, &self.upstream, self.begun_at, detail);
    }

    /// Logs the end of the stream.
    fn log_end(&self, outcome: &str) {
        info!(
            "caller: stream ended request={} upstream={} outcome={outcome} waited_ms={}",
            self.call.request_id,
            self.upstream,
            self.call.received_at.elapsed().as_millis()
        );
    }
}
