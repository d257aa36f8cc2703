//! Bodies of responses that are known whole.

use std::{error::Error, rc::Rc};

use bytes::Bytes;
use futures::{Stream, StreamExt as _};
use ntex::http::body::{Body, SizedStream};

use crate::{pending_work::PendingWorkGuard, shared::Shared};

/// Size of the pieces in which a large body is passed on.
const PIECE_BYTES: usize = 32 * 1024;

/// Returns the body of a response to a caller.
///
/// A large one is pending work, which a graceful stop waits for, until a slow caller has read most of
/// it.
pub(crate) fn response_body(shared: &Shared, body: Bytes) -> Body {
    if body.len() <= PIECE_BYTES {
        return Body::Bytes(ntex::util::Bytes::copy_from_slice(&body));
    }
    let length = body.len() as u64;
    SizedStream::new(length, pieces(body, shared.pending_work.begin())).into()
}

/// Returns the pieces of a body, which are polled as the caller reads.
fn pieces(
    body: Bytes,
    pending: PendingWorkGuard,
) -> impl Stream<Item = Result<ntex::util::Bytes, Rc<dyn Error>>> + Unpin {
    futures::stream::iter(0..body.len().div_ceil(PIECE_BYTES)).map(move |number| {
        // The guard lives as long as the stream.
        let _ = &pending;
        let begin = number * PIECE_BYTES;
        let piece = &body[begin..body.len().min(begin + PIECE_BYTES)];
        Ok(ntex::util::Bytes::copy_from_slice(piece))
    })
}
