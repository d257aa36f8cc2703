//! Body of a streamed response, encoded as server-sent events.

use std::{convert::Infallible, time::Duration};

use futures::{Stream, future::LocalBoxFuture, stream};
use ntex::util::Bytes;
use wire::{Chunk, DONE, encode_event};

use crate::{refusal::Refusal, relay::Relay};

/// Interval at which a comment is written while no event arrives: only a write reveals that the
/// caller has disconnected.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// SSE comment, which clients ignore.
const COMMENT: &str = ": waiting\n\n";

type Next = LocalBoxFuture<'static, (Relay, Result<Option<Chunk>, Refusal>)>;

enum State {
    First(Box<(Relay, Chunk)>),
    Waiting(Next),
    End,
}

/// Returns the body of a streamed response, starting with the chunk that was already received.
pub(crate) fn sse_body(
    relay: Relay,
    first: Chunk,
) -> impl Stream<Item = Result<Bytes, Infallible>> + Unpin + 'static {
    Box::pin(stream::unfold(State::First(Box::new((relay, first))), step))
}

/// Returns the next part of the body.
async fn step(state: State) -> Option<(Result<Bytes, Infallible>, State)> {
    let (text, state) = match state {
        State::First(first) => {
            let (relay, chunk) = *first;
            (encode_chunk(&relay, &chunk), State::Waiting(next(relay)))
        }
        State::Waiting(mut waiting) => {
            match tokio::time::timeout(KEEP_ALIVE_INTERVAL, &mut waiting).await {
                Err(_) => (COMMENT.to_owned(), State::Waiting(waiting)),
                Ok((relay, Ok(Some(chunk)))) => {
                    (encode_chunk(&relay, &chunk), State::Waiting(next(relay)))
                }
                Ok((_, Ok(None))) => (encode_event(DONE), State::End),
                Ok((relay, Err(refusal))) => {
                    (encode_event(&refusal.body(relay.request_id())), State::End)
                }
            }
        }
        State::End => return None,
    };
    Some((Ok(Bytes::from(text)), state))
}

fn next(mut relay: Relay) -> Next {
    Box::pin(async move {
        let result = relay.next().await;
        (relay, result)
    })
}

fn encode_chunk(relay: &Relay, chunk: &Chunk) -> String {
    // The router always requests usage from engines; only callers that requested it get the chunk.
    if chunk.is_usage_only() && !relay.request().wants_usage() {
        return COMMENT.to_owned();
    }
    encode_event(&chunk.value.to_string())
}
