//! Answers that go on without end until their connection is closed, of upstreams of the router's own
//! interface: one daemon process has to live on, stay within its memory and its descriptors, and
//! answer ordinary requests to sound upstreams.
//!
//! Each test is one way of a faulty upstream, for calls of plain services, chats or streams. The same
//! faulty engine is also asked for its load.

mod endless_answers_support;
mod support;

use std::time::Duration;

use crowd::EndlessAnswer;
use endless_answers_support::{Kind, check};

/// Time for which a way is played: most show what they take at once.
const SHORT: Duration = Duration::from_millis(1_200);

/// The same for ways that show it only after a while.
const LONG: Duration = Duration::from_secs(6);

/// Defines a test for each way.
macro_rules! ways {
    ($($name:ident: $kind:ident $answer:ident $duration:ident;)*) => {
        $(
            #[doc = concat!("Guards against holding `", stringify!($answer), "` without end.")]
            #[tokio::test(flavor = "multi_thread")]
            async fn $name() {
                check(stringify!($name), Kind::$kind, EndlessAnswer::$answer, $duration).await;
            }
        )*
    };
}

ways! {
    call_status_line: Call StatusLine SHORT;
    call_garbage: Call Garbage SHORT;
    call_empty_lines: Call EmptyLines SHORT;
    call_header: Call Header SHORT;
    call_headers: Call Headers SHORT;
    call_continues: Call Continues SHORT;
    call_early_hints: Call EarlyHints SHORT;
    call_unframed_body: Call UnframedBody SHORT;
    call_long_body: Call LongBody SHORT;
    call_chunks: Call Chunks SHORT;
    call_small_chunks: Call SmallChunks LONG;
    call_chunk_extension: Call ChunkExtension SHORT;
    call_extended_chunks: Call ExtendedChunks SHORT;
    call_trailers: Call Trailers SHORT;
    chat_status_line: Chat StatusLine SHORT;
    chat_garbage: Chat Garbage SHORT;
    chat_continues: Chat Continues SHORT;
    chat_headers: Chat Headers SHORT;
    chat_unframed_body: Chat UnframedBody SHORT;
    chat_events: Chat Events LONG;
    stream_status_line: Stream StatusLine SHORT;
    stream_garbage: Stream Garbage SHORT;
    stream_empty_lines: Stream EmptyLines SHORT;
    stream_header: Stream Header SHORT;
    stream_headers: Stream Headers SHORT;
    stream_continues: Stream Continues SHORT;
    stream_early_hints: Stream EarlyHints SHORT;
    stream_unframed_body: Stream UnframedBody SHORT;
    stream_long_body: Stream LongBody SHORT;
    stream_chunks: Stream Chunks SHORT;
    stream_small_chunks: Stream SmallChunks SHORT;
    stream_chunk_extension: Stream ChunkExtension SHORT;
    stream_extended_chunks: Stream ExtendedChunks SHORT;
    stream_trailers: Stream Trailers SHORT;
    stream_event: Stream Event SHORT;
    stream_event_lines: Stream EventLines SHORT;
    stream_comments: Stream Comments SHORT;
    stream_empty_event_lines: Stream EmptyEventLines SHORT;
    stream_events: Stream Events SHORT;
}
