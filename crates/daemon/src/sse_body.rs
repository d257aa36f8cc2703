use std::{convert::Infallible, time::Duration};

use futures::{Stream, future::LocalBoxFuture, stream};
use ntex::util::Bytes;
use wire::{Chunk, DONE, encode_event};

use crate::{refusal::Refusal, relay::Relay};

/// Pause after which a comment is written: only a write notices that the caller has left.
const KEEP_ALIVE: Duration = Duration::from_secs(1);

/// Comment line that clients ignore.
const COMMENT: &str = ": waiting\n\n";

type Next = LocalBoxFuture<'static, (Relay, Result<Option<Chunk>, Refusal>)>;

enum State {
    First(Box<(Relay, Chunk)>),
    Waiting(Next),
    End,
}

/// Returns the body of a streamed answer, beginning with the chunk that was already received.
pub(crate) fn sse_body(
    relay: Relay,
    first: Chunk,
) -> impl Stream<Item = Result<Bytes, Infallible>> + Unpin + 'static {
    Box::pin(stream::unfold(State::First(Box::new((relay, first))), step))
}

async fn step(state: State) -> Option<(Result<Bytes, Infallible>, State)> {
    let (text, state) = match state {
        State::First(first) => {
            let (relay, chunk) = *first;
            (event(&relay, &chunk), State::Waiting(next(relay)))
        }
        State::Waiting(mut waiting) => match tokio::time::timeout(KEEP_ALIVE, &mut waiting).await {
            Err(_) => (COMMENT.to_owned(), State::Waiting(waiting)),
            Ok((relay, Ok(Some(chunk)))) => (event(&relay, &chunk), State::Waiting(next(relay))),
            Ok((_, Ok(None))) => (encode_event(DONE), State::End),
            Ok((relay, Err(refusal))) => {
                (encode_event(&refusal.body(relay.request_id())), State::End)
            }
        },
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

fn event(relay: &Relay, chunk: &Chunk) -> String {
    // The router always asks engines for usage; only callers that asked for it get the chunk.
    if chunk.is_usage_only() && !relay.request().wants_usage() {
        return COMMENT.to_owned();
    }
    encode_event(&chunk.value.to_string())
}
