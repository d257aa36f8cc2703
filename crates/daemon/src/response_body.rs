//! Bodies of responses that are known whole.

use std::{error::Error, rc::Rc};

use bytes::Bytes;
use futures::{Stream, StreamExt as _};
use intake::Kind;
use ntex::{
    http::body::{Body, SizedStream},
    io::IoRef,
};

use crate::{holds::Hold, pending_work::PendingWorkGuard, shared::Shared};

/// Size of the pieces in which a large body is passed on.
pub(crate) const PIECE_BYTES: usize = 32 * 1024;

/// Returns the body of a response to a caller.
///
/// A large one is pending work, which a graceful stop waits for, until a slow caller has read most of
/// it. Its memory is held as long as the caller reads fast enough.
pub(crate) fn response_body(
    shared: &Shared,
    body: Bytes,
    hold: Option<Hold>,
    caller: Option<IoRef>,
) -> Body {
    if body.len() <= PIECE_BYTES {
        return Body::Bytes(ntex::util::Bytes::copy_from_slice(&body));
    }
    let length = body.len() as u64;
    let hold = hold.map(|mut hold| {
        hold.settle(Kind::Delivering, length);
        close_if_slow(&mut hold, caller);
        hold
    });
    SizedStream::new(length, pieces(body, hold, shared.pending_work.begin())).into()
}

/// Closes the connection of a caller that reads too slowly for the memory that is held.
pub(crate) fn close_if_slow(hold: &mut Hold, caller: Option<IoRef>) {
    let Some(caller) = caller else { return };
    let closed = hold.take_closed();
    ntex::rt::spawn(async move {
        // Fails when the hold ends.
        if closed.await.is_ok() {
            caller.terminate();
        }
    });
}

/// Returns the pieces of a body, which are polled as the caller reads.
fn pieces(
    body: Bytes,
    hold: Option<Hold>,
    pending: PendingWorkGuard,
) -> impl Stream<Item = Result<ntex::util::Bytes, Rc<dyn Error>>> + Unpin {
    futures::stream::iter(0..body.len().div_ceil(PIECE_BYTES)).map(move |number| {
        // The guard lives as long as the stream.
        let _ = &pending;
        if let Some(hold) = &hold {
            hold.record_progress(PIECE_BYTES as u64);
        }
        Ok(piece(&body, number))
    })
}

/// Returns a copy of a piece of a body.
fn piece(body: &Bytes, number: usize) -> ntex::util::Bytes {
    let begin = number * PIECE_BYTES;
    ntex::util::Bytes::copy_from_slice(&body[begin..body.len().min(begin + PIECE_BYTES)])
}
