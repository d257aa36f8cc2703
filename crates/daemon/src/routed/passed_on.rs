//! Response that is passed on as it arrives, because there is no memory for the whole of it.

use std::{error::Error, io, rc::Rc, sync::Arc};

use bytes::Bytes;
use code::Code;
use futures::{Stream, TryStreamExt as _, future::Either, stream};
use intake::{Claim, Kind};
use link::Response;
use log::info;
use ntex::{
    http::body::{Body, SizedStream},
    io::IoRef,
    web::HttpResponse,
};
use sched::Outcome;
use tokio::time::{Instant, timeout_at};

use super::{call::Call, reply};
use crate::{
    answer::{BUFFERS_BYTES, content_length},
    handle::JobHandle,
    holds::Hold,
    pending_work::PendingWorkGuard,
    refusal::Refusal,
    response_body::{PIECE_BYTES, close_if_slow},
    shared::Shared,
};

/// Response whose body is read from its upstream as fast as the caller reads it.
pub(super) struct PassedOn {
    pub(super) response: Response,
    /// Beginning of the body.
    pub(super) begun: Bytes,
    pub(super) handle: JobHandle,
    pub(super) request_id: String,
    pub(super) deadline: Instant,
    pub(super) caller: Option<IoRef>,
    /// Memory of its beginning and of its buffers.
    pub(super) hold: Option<Hold>,
}

/// Holds the memory of the beginning and of the buffers, and waits for it if nothing is held yet.
///
/// # Errors
///
/// Returns a refusal that doesn't promise that the request was not run.
pub(super) async fn hold_buffers(
    shared: &Shared,
    call: &Call,
    begun_hold: Option<Hold>,
    caller: Option<IoRef>,
) -> Result<Option<Hold>, Refusal> {
    if let Some(mut hold) = begun_hold {
        hold.settle(Kind::Delivering, hold.bytes());
        close_if_slow(&mut hold, caller);
        return Ok(Some(hold));
    }
    let account = call.account.clone().unwrap_or_else(|| "".into());
    let claim = Claim::new(Kind::Delivering, account, BUFFERS_BYTES).with_rank(call.rank);
    let wait = call.deadline.saturating_duration_since(Instant::now());
    let hold = shared.holds.reserve(&shared.metrics, claim, wait).await;
    let mut hold = hold.map_err(|_| Refusal::new(Code::UpstreamTimeout))?;
    if let Some(hold) = &mut hold {
        close_if_slow(hold, caller);
    }
    Ok(hold)
}

type Chunk = Result<ntex::util::Bytes, io::Error>;

struct State {
    passed_on: PassedOn,
    _pending: PendingWorkGuard,
}

impl PassedOn {
    /// Returns the reply to the caller.
    pub(super) fn reply(self, shared: &Arc<Shared>) -> HttpResponse {
        let mut reply = reply::start_from(shared, &self.response);
        let length = content_length(&self.response);
        let state = State {
            passed_on: self,
            _pending: shared.pending_work.begin(),
        };
        let chunks = Box::pin(chunks(state, shared.clone()));
        match length {
            Some(length) => {
                let chunks = chunks.map_err(|error| Rc::new(error) as Rc<dyn Error>);
                let body: Body = SizedStream::new(length as u64, chunks).into();
                reply.message_body(body)
            }
            None => reply.streaming(chunks),
        }
    }

    /// Returns the next part of the body, or `None` at its end.
    async fn next(&mut self) -> Result<Option<Bytes>, Code> {
        if !self.begun.is_empty() {
            let piece = self.begun.split_to(PIECE_BYTES.min(self.begun.len()));
            return Ok(Some(piece));
        }
        if let Some(hold) = &mut self.hold
            && hold.bytes() > BUFFERS_BYTES
        {
            // An empty rest still keeps the memory of the whole.
            self.begun = Bytes::new();
            hold.shrink(BUFFERS_BYTES);
        }
        match timeout_at(self.deadline, self.response.next_chunk()).await {
            Ok(Ok(chunk)) => Ok(chunk),
            Ok(Err(_)) => Err(Code::UpstreamLost),
            Err(_) => Err(Code::UpstreamTimeout),
        }
    }
}

/// Returns the chunks of the body. If it fails, the connection is closed here, because ntex would
/// write the end of the body into it.
fn chunks(state: State, shared: Arc<Shared>) -> impl Stream<Item = Chunk> {
    stream::unfold(Some(state), move |state| {
        let shared = shared.clone();
        async move {
            let mut state = state?;
            let passed_on = &mut state.passed_on;
            let next = futures::future::select(
                Box::pin(passed_on.next()),
                Box::pin(shared.stop_expired.cancelled()),
            );
            let next = match next.await {
                Either::Left((next, _)) => next,
                Either::Right(_) => Err(Code::CutByStop),
            };
            match next {
                Ok(Some(chunk)) => {
                    if let Some(hold) = &passed_on.hold {
                        hold.record_progress(chunk.len() as u64);
                    }
                    let chunk = ntex::util::Bytes::copy_from_slice(&chunk);
                    Some((Ok(chunk), Some(state)))
                }
                Ok(None) => {
                    passed_on.handle.finish(Outcome::Complete);
                    None
                }
                Err(code) => {
                    info!(
                        "caller: answer cut request={} code={code}",
                        passed_on.request_id
                    );
                    let outcome = Outcome::LostMidStream { resumable: false };
                    passed_on.handle.finish(outcome);
                    if let Some(caller) = &passed_on.caller {
                        caller.terminate();
                    }
                    Some((Err(io::Error::other(code.name())), None))
                }
            }
        }
    })
}
