//! Reads the body of a response for a caller, within the memory of this host.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use intake::{Claim, Kind};
use link::{Method, RequestError, Response, header};
use tokio::time::sleep;

use crate::{
    holds::{Hold, Holds},
    response_body::PIECE_BYTES,
    shared::Shared,
};

/// Memory of the buffers of one response that is passed on, on both sides.
pub(crate) const BUFFERS_BYTES: u64 = 128 * 1024;

/// Largest incomplete event of a stream that is held back. An event holds a few tokens; two hundred
/// streams of an upstream that never ends its events must fit into the memory of a small host.
pub(crate) const EVENT_MAX_BYTES: usize = 64 * 1024;

/// Pause before an answer that must be held whole asks for memory again.
const ROOM_PAUSE: Duration = Duration::from_millis(50);

/// Body of a response.
pub(crate) enum Answer {
    /// All of it.
    Whole(Bytes, Option<Hold>),
    /// Its beginning, of a body that must be passed on as it arrives: there is no memory for it. What
    /// is held for the beginning covers the buffers for the rest too.
    Begun(Bytes, Option<Hold>),
}

/// Reads a body of at most `max_bytes`. Memory is reserved by its length before it is read, or as it
/// grows.
///
/// # Errors
///
/// [`RequestError::Lost`] if the connection fails before the end of the body or the body is larger
/// than `max_bytes`.
pub(crate) async fn read(
    shared: &Shared,
    account: Option<&Arc<str>>,
    method: &Method,
    response: &mut Response,
    max_bytes: usize,
) -> Result<Answer, RequestError> {
    // The answer to HEAD declares the length of a body that it doesn't have.
    let length = content_length(response).filter(|_| *method != Method::HEAD);
    if length.is_some_and(|length| length > max_bytes) {
        return Err(too_large(max_bytes));
    }
    let mut held = Held {
        holds: &shared.holds,
        account: account.cloned().unwrap_or_else(|| "".into()),
        hold: None,
    };
    if !held.has_room(length.unwrap_or(0), 0) {
        shared
            .metrics
            .record_shortage(Kind::Answer.as_str(), "passed_on");
        return Ok(Answer::Begun(Bytes::new(), None));
    }
    let Some(first) = response.next_chunk().await? else {
        return Ok(whole(Bytes::new()));
    };
    let mut body = BytesMut::new();
    let mut next = Some(first);
    while let Some(chunk) = next {
        let bytes = body.len() + chunk.len();
        if bytes > max_bytes {
            return Err(too_large(max_bytes));
        }
        // A body without a length may have to be passed on after any of its chunks.
        let buffers_bytes = if length.is_none() { BUFFERS_BYTES } else { 0 };
        let has_room = held.has_room(bytes, buffers_bytes);
        if body.is_empty() && length == Some(chunk.len()) {
            body = chunk.into();
        } else {
            if body.is_empty() {
                body.reserve(length.unwrap_or(0));
            }
            body.extend_from_slice(&chunk);
        }
        if !has_room {
            shared
                .metrics
                .record_shortage(Kind::Answer.as_str(), "passed_on");
            return Ok(Answer::Begun(body.freeze(), held.hold));
        }
        next = response.next_chunk().await?;
    }
    Ok(Answer::Whole(body.freeze(), held.hold))
}

/// Reads a body like [`read`], but waits for memory where there is none; nothing is read meanwhile.
///
/// # Errors
///
/// Those of [`read`].
pub(crate) async fn read_whole(
    shared: &Shared,
    account: &Arc<str>,
    method: &Method,
    response: &mut Response,
    max_bytes: usize,
) -> Result<(Bytes, Option<Hold>), RequestError> {
    let begun = read(shared, Some(account), method, response, max_bytes).await?;
    let (mut body, begun_hold) = match begun {
        Answer::Whole(body, hold) => return Ok((body, hold)),
        Answer::Begun(body, hold) => (BytesMut::from(body), hold),
    };
    let mut held = Held {
        holds: &shared.holds,
        account: account.clone(),
        hold: begun_hold,
    };
    let length = content_length(response).unwrap_or(0);
    held.wait_for_room(length.max(body.len())).await;
    while let Some(chunk) = response.next_chunk().await? {
        let bytes = body.len() + chunk.len();
        if bytes > max_bytes {
            return Err(too_large(max_bytes));
        }
        held.wait_for_room(bytes).await;
        body.extend_from_slice(&chunk);
    }
    Ok((body.freeze(), held.hold))
}

/// Returns the declared size of a body.
pub(crate) fn content_length(response: &Response) -> Option<usize> {
    let length = response.headers().get(header::CONTENT_LENGTH)?;
    length.to_str().ok()?.parse().ok()
}

fn too_large(max_bytes: usize) -> RequestError {
    RequestError::Lost(format!("more than {max_bytes} bytes"))
}

const fn whole(body: Bytes) -> Answer {
    Answer::Whole(body, None)
}

/// Memory that is held for a body while it is read.
struct Held<'a> {
    holds: &'a Arc<Holds>,
    account: Arc<str>,
    hold: Option<Hold>,
}

impl Held<'_> {
    /// Waits until this many bytes of a body are held.
    async fn wait_for_room(&mut self, body_bytes: usize) {
        while !self.has_room(body_bytes, 0) {
            sleep(ROOM_PAUSE).await;
        }
    }

    /// Makes sure that this many bytes of a body are held, and those of its buffers; short answers
    /// need none, as the buffers of their connections hold them.
    fn has_room(&mut self, body_bytes: usize, buffers_bytes: u64) -> bool {
        if body_bytes <= PIECE_BYTES || !self.holds.is_limited() {
            return true;
        }
        let bytes = body_bytes as u64 + buffers_bytes;
        if let Some(hold) = &mut self.hold {
            let held_bytes = hold.bytes();
            // A buffer that grows doubles.
            return bytes <= held_bytes
                || hold.grow(bytes.max(2 * held_bytes) - held_bytes).is_ok();
        }
        let claim = Claim::new(Kind::Answer, self.account.clone(), bytes);
        match self.holds.try_reserve(&claim) {
            Ok(hold) => {
                self.hold = hold;
                true
            }
            Err(_) => false,
        }
    }
}
