use std::{io, rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use code::{Code, Run};
use futures::{Stream, StreamExt as _};
use link::{ConnectionPool, Response};
use log::info;
use ntex::{io::IoRef, web::HttpResponse};
use sched::Outcome;
use settings::RequestKind;
use tokio::time::timeout_at;

use super::{
    attempt::{self, note_failure, note_start},
    call::Call,
    events::Events,
    reply,
};
use crate::{core::Decision, handle::JobHandle, refusal::Refusal, shared::Shared};

/// Largest error answer to a stream's request.
const ERROR_MAX_BYTES: usize = 1024 * 1024;

/// Time for the events before a break to leave, since closing the connection drops what is queued.
const FLUSH_TIME: Duration = Duration::from_millis(50);

/// Stream of events from one or more upstreams to a caller; dropping it cancels its job.
struct Relay {
    shared: Arc<Shared>,
    links: Rc<ConnectionPool>,
    call: Call,
    handle: JobHandle,
    upstream: Arc<str>,
    answer: Option<Response>,
    events: Events,
}

/// Serves a call whose answer is a stream of events.
///
/// The head waits for the first event: until then another upstream can take the call over, a
/// refusal can carry its status, and a caller that leaves is noticed at once.
pub(super) async fn serve(
    shared: &Arc<Shared>,
    links: &Rc<ConnectionPool>,
    call: Call,
    handle: JobHandle,
    caller: Option<IoRef>,
) -> Result<HttpResponse, Refusal> {
    let until = call.until;
    let mut relay = Relay {
        shared: shared.clone(),
        links: links.clone(),
        call,
        handle,
        upstream: "".into(),
        answer: None,
        events: Events::default(),
    };
    let mut sent = false;
    let begun = timeout_at(until, relay.begin(&mut sent)).await;
    let first = match begun {
        Ok(result) => result?,
        Err(_) if sent => return Err(Code::UpstreamTimeout.into()),
        Err(_) => return Err(Code::DeadlinePassed.into()),
    };
    let Some(answer) = &relay.answer else {
        return Err(Code::UpstreamLost.into());
    };
    let mut response = reply::begin_as(shared, answer);
    match first {
        First::Error(body) => {
            let status = answer.status().as_u16();
            info!(
                "caller: answered request={} upstream={} status={status}",
                relay.call.request_id, relay.upstream
            );
            relay.handle.finish(Outcome::Complete);
            Ok(response.body(copy(&body)))
        }
        First::Events(first) => {
            let waited_ms = relay.call.arrived.elapsed().as_millis();
            info!(
                "caller: stream begun request={} upstream={} waited_ms={waited_ms}",
                relay.call.request_id, relay.upstream
            );
            Ok(response.streaming(Box::pin(body(relay, first, caller))))
        }
    }
}

/// First part of an answer.
enum First {
    /// Events, the first of which is whole.
    Events(Bytes),
    /// Whole body of an error answer.
    Error(Bytes),
}

/// Returns the body of the caller's answer.
///
/// An answer that breaks off closes the connection: the server itself would write an error answer
/// into the stream. It would also notice only at the next event that the caller has left.
fn body(
    relay: Relay,
    first: Bytes,
    caller: Option<IoRef>,
) -> impl Stream<Item = Result<ntex::util::Bytes, io::Error>> {
    let left = caller.as_ref().map(IoRef::on_disconnect);
    let left = async move {
        match left {
            Some(left) => left.await,
            None => std::future::pending().await,
        }
    };
    let body = futures::stream::unfold((Some(relay), Some(first)), move |(relay, first)| {
        let caller = caller.clone();
        async move {
            let mut relay = relay?;
            if let Some(first) = first {
                return Some((Ok(copy(&first)), (Some(relay), None)));
            }
            let until = relay.call.until;
            let next = timeout_at(until, relay.next()).await;
            let next = next.unwrap_or(Err(Code::UpstreamTimeout));
            match next {
                Ok(Some(bytes)) => Some((Ok(copy(&bytes)), (Some(relay), None))),
                Ok(None) => {
                    relay.note_end("complete");
                    None
                }
                Err(code) => {
                    relay.note_end(code.name());
                    if let Some(caller) = caller {
                        tokio::time::sleep(FLUSH_TIME).await;
                        caller.terminate();
                    }
                    Some((Err(io::Error::other(code.name())), (None, None)))
                }
            }
        }
    });
    body.take_until(left)
}

fn copy(bytes: &[u8]) -> ntex::util::Bytes {
    ntex::util::Bytes::copy_from_slice(bytes)
}

impl Relay {
    /// Sends the call until an upstream has begun to answer.
    async fn begin(&mut self, sent: &mut bool) -> Result<First, Refusal> {
        // Error answer of an earlier attempt, for the caller if no other attempt does better.
        let mut kept = None;
        loop {
            match self.handle.decision().await {
                Decision::Start {
                    upstream,
                    attempt,
                    work_tokens,
                    ..
                } => {
                    note_start(&self.shared, &self.call, &upstream, attempt, work_tokens);
                    *sent = true;
                    self.upstream = upstream;
                    match self.first().await {
                        Ok(First::Error(body)) if self.may_repeat_error() => {
                            kept = Some((self.answer.take(), body));
                            self.handle.finish(Outcome::Failed);
                        }
                        Ok(first) => return Ok(first),
                        Err(outcome) => {
                            *sent = outcome == Outcome::LostBeforeAnswer;
                            self.handle.finish(outcome);
                        }
                    }
                }
                Decision::Refuse {
                    code,
                    retry_after_ms,
                } => {
                    if let Some((answer, body)) = kept {
                        self.answer = answer;
                        return Ok(First::Error(body));
                    }
                    let refusal = Refusal::new(code);
                    return Err(if code.run() == Run::No {
                        refusal.with_retry_after_ms(retry_after_ms)
                    } else {
                        refusal
                    });
                }
                Decision::Cancel => self.shared.metrics.preempted(),
            }
        }
    }

    /// Returns whether the answer is an error that another upstream may not give.
    fn may_repeat_error(&self) -> bool {
        let status = self.answer.as_ref().map(Response::status);
        self.call.kind.is_repeatable() && status.is_some_and(|status| status.is_server_error())
    }

    async fn first(&mut self) -> Result<First, Outcome> {
        let resume_after = self.events.last_id();
        let sent = attempt::send(
            &self.shared,
            &self.links,
            &self.call,
            &self.upstream,
            resume_after.as_deref(),
        );
        let mut answer = sent.await?;
        if !answer.status().is_success() {
            let body = answer.read_body(ERROR_MAX_BYTES).await;
            self.answer = Some(answer);
            return body
                .map(First::Error)
                .map_err(|_| Outcome::LostBeforeAnswer);
        }
        self.answer = Some(answer);
        match self.read().await {
            Ok(Some(events)) => {
                self.handle.first_token();
                Ok(First::Events(events))
            }
            // A stream without any event is whole if the upstream ended it properly.
            Ok(None) => Ok(First::Error(Bytes::new())),
            Err(()) => Err(Outcome::LostBeforeAnswer),
        }
    }

    /// Returns the next whole events, or `None` at the end of the stream.
    async fn next(&mut self) -> Result<Option<Bytes>, Code> {
        match self.read().await {
            Ok(Some(events)) => Ok(Some(events)),
            Ok(None) => {
                self.handle.finish(Outcome::Complete);
                Ok(None)
            }
            Err(()) => {
                let resumable = self.call.kind == RequestKind::ResumableStream
                    && self.events.last_id().is_some();
                self.handle.finish(Outcome::LostMidStream { resumable });
                match self.resume().await? {
                    First::Events(events) => Ok(Some(events)),
                    First::Error(_) => Err(Code::StreamBroken),
                }
            }
        }
    }

    async fn resume(&mut self) -> Result<First, Code> {
        let mut sent = true;
        let resumed = self.begin(&mut sent).await;
        resumed.map_err(|refusal| refusal.code)
    }

    /// Reads the next whole events of the current answer.
    async fn read(&mut self) -> Result<Option<Bytes>, ()> {
        let Some(answer) = self.answer.as_mut() else {
            return Err(());
        };
        loop {
            match answer.next_chunk().await {
                Ok(Some(chunk)) => {
                    let events = self.events.push(chunk);
                    if !events.is_empty() {
                        return Ok(Some(events));
                    }
                }
                Ok(None) => {
                    let rest = self.events.take_partial();
                    if rest.is_empty() {
                        return Ok(None);
                    }
                    note_failure(&self.call, &self.upstream, "ended within an event");
                    return Err(());
                }
                Err(error) => {
                    note_failure(&self.call, &self.upstream, &error.to_string());
                    self.events.take_partial();
                    return Err(());
                }
            }
        }
    }

    fn note_end(&self, outcome: &str) {
        info!(
            "caller: stream ended request={} upstream={} outcome={outcome} waited_ms={}",
            self.call.request_id,
            self.upstream,
            self.call.arrived.elapsed().as_millis()
        );
    }
}
