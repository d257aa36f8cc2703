//! Routed requests to upstreams that repeat refusals, cut off their answers or answer a resumed
//! stream with something else.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use settings::RequestKind;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    time::sleep,
};

#[allow(dead_code, reason = "each test file uses a part of it")]
mod routed_support;

use routed_support::{Fixture, KEY, ScriptedUpstream, Step, upstream};

const REFUSAL: &str =
    "HTTP/1.1 503 Service Unavailable\r\nx-not-run: 1\r\nx-id: r1\r\ncontent-length: 0\r\n\r\n";
const ANSWER: &str = "HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-length: 2\r\n\r\nok";

const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
const FIRST_EVENT: &str = "f\r\nid: 1\ndata: a\n\n\r\n";
const STREAM_BEGUN: &[Step] = &[
    Step::Send(STREAM_HEAD),
    Step::Send(FIRST_EVENT),
    Step::Close,
];

fn key() -> String {
    format!("x-key: {KEY}\r\n")
}

fn status(answer: &str) -> u16 {
    let status = answer.split(' ').nth(1).and_then(|word| word.parse().ok());
    status.unwrap_or_else(|| panic!("no answer: {answer:?}"))
}

/// Refuses the first request of the first connection, and repeats the refusal before it runs the
/// next request of that connection.
async fn repeat_refusal(mut stream: TcpStream, is_first: bool, runs: Arc<AtomicUsize>) {
    let mut refused = false;
    let mut head = Vec::new();
    while let Ok(byte) = stream.read_u8().await {
        head.push(byte);
        if !head.ends_with(b"\r\n\r\n") {
            continue;
        }
        head.clear();
        if is_first && !refused {
            refused = true;
            let _ = stream.write_all(REFUSAL.as_bytes()).await;
            continue;
        }
        runs.fetch_add(1, Ordering::Relaxed);
        if refused {
            let _ = stream.write_all(REFUSAL.as_bytes()).await;
        }
        let _ = stream.write_all(ANSWER.as_bytes()).await;
    }
}

/// Guards against a refusal that an upstream writes once more being taken for the answer to the
/// retry: the request ran, was run a second time, or its caller was told that it did not run.
#[ntex::test]
async fn repeated_refusal_is_no_answer_to_the_retry() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let upstream = ScriptedUpstream {
        address: listener.local_addr().unwrap(),
        heads: Arc::default(),
        aborted: Arc::default(),
    };
    let runs = Arc::<AtomicUsize>::default();
    let counted = runs.clone();
    ntex::rt::spawn(async move {
        let mut is_first = true;
        while let Ok((stream, _)) = listener.accept().await {
            ntex::rt::spawn(repeat_refusal(stream, is_first, counted.clone()));
            is_first = false;
        }
    });
    let fixture = Fixture::start(RequestKind::NonIdempotent, 10_000, &[&upstream]).await;
    let answer = fixture.call("/stock/1", &key()).await;
    // The upstream may still be reading a request that must not have been sent.
    tokio::time::sleep(std::time::Duration::from_millis(100)).await;
    assert_eq!(runs.load(Ordering::Relaxed), 1, "{answer}");
    assert_eq!(status(&answer), 200, "{answer}");
    fixture.daemon.stop().await;
}

/// Guards against an answer that an upstream cuts off within its head or body reaching the caller as
/// a success.
#[ntex::test]
async fn answer_cut_at_any_byte_is_no_success() {
    for answer in [
        ANSWER,
        "HTTP/1.1 200 OK\r\nx-id: r1\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    ] {
        let scripts: Vec<&'static [Step]> = (0..answer.len())
            .map(|end| {
                &*Box::leak(Box::new([Step::Send(&answer[..end]), Step::Close])) as &[Step]
            })
            .collect();
        let scripts: &'static [&'static [Step]] = Box::leak(scripts.into_boxed_slice());
        let upstream = ScriptedUpstream::start(scripts).await;
        let fixture = Fixture::start(RequestKind::NonIdempotent, 10_000, &[&upstream]).await;
        while upstream.request_count() < scripts.len() {
            let cut = upstream.request_count();
            let reply = fixture.call("/stock/1", &key()).await;
            assert_eq!(status(&reply), 502, "cut at {cut}: {reply}");
        }
        fixture.daemon.stop().await;
    }
}

/// Guards against a stream that an upstream cuts off before its first event reaching the caller as a
/// complete and empty one, also where the answer has neither a length nor chunks.
#[ntex::test]
async fn stream_without_an_event_is_no_success_if_it_was_cut() {
    const HEAD: &str = "HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-type: text/event-stream\r\n\r\n";
    let scripts: &'static [&'static [Step]] = &[
        &[Step::Send(HEAD), Step::Close],
        &[Step::Send(HEAD), Step::Send("id: 1\nda"), Step::Close],
        &[Step::Send(STREAM_HEAD), Step::Close],
        &[
            Step::Send(STREAM_HEAD),
            Step::Send("f\r\nid: 1"),
            Step::Close,
        ],
    ];
    let upstream = ScriptedUpstream::start(scripts).await;
    let fixture = Fixture::start(RequestKind::Stream, 10_000, &[&upstream]).await;
    while upstream.request_count() < scripts.len() {
        let script = upstream.request_count();
        let answer = fixture.call("/stock/1", &key()).await;
        assert_eq!(status(&answer), 502, "script {script}: {answer}");
    }
    fixture.daemon.stop().await;
}

/// Guards against a stream without a length or chunks that isn't passed on whole, or looks complete
/// although it ended within an event.
#[ntex::test]
async fn stream_that_ends_with_its_connection_is_passed_on() {
    const HEAD: &str = "HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-type: text/event-stream\r\n\r\n";
    let cases: [(&'static [&'static [Step]], bool); 2] = [
        (
            &[&[
                Step::Send(HEAD),
                Step::Send("id: 1\ndata: a\n\n"),
                Step::Send("id: 2\ndata: b\n\n"),
                Step::Close,
            ]],
            true,
        ),
        (
            &[&[
                Step::Send(HEAD),
                Step::Send("id: 1\ndata: a\n\nid: 2\nda"),
                Step::Close,
            ]],
            false,
        ),
    ];
    for (scripts, is_complete) in cases {
        let upstream = ScriptedUpstream::start(scripts).await;
        let fixture = Fixture::start(RequestKind::Stream, 10_000, &[&upstream]).await;
        let answer = fixture.call("/stock/1", &key()).await;
        assert_eq!(status(&answer), 200, "{answer}");
        assert!(answer.contains("id: 1\ndata: a\n\n"), "{answer}");
        assert_eq!(answer.contains("id: 2"), is_complete, "{answer}");
        assert_eq!(answer.ends_with("0\r\n\r\n"), is_complete, "{answer}");
        fixture.daemon.stop().await;
    }
}

/// Guards against anything but the next events in a stream that goes on at another upstream, and
/// against its end as a complete one.
#[ntex::test]
async fn resumed_stream_holds_nothing_but_its_next_events() {
    const END: &str = "0\r\n\r\n";
    let cases: [(&str, &'static [Step], &str, bool); 7] = [
        (
            "goes on",
            &[
                Step::Send(STREAM_HEAD),
                Step::Send("f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n"),
            ],
            "id: 2",
            true,
        ),
        (
            "had ended",
            &[Step::Send(STREAM_HEAD), Step::Send(END)],
            "",
            true,
        ),
        (
            "error with a body like events",
            &[Step::Send(
                "HTTP/1.1 500 Oops\r\nx-id: r1\r\ncontent-length: 12\r\n\r\ndata: oops\n\n",
            )],
            "",
            false,
        ),
        (
            "refusal",
            &[Step::Send(
                "HTTP/1.1 503 Oops\r\nx-id: r1\r\nx-not-run: 1\r\ncontent-length: 6\r\n\r\noops\n\n",
            )],
            "",
            false,
        ),
        (
            "another body",
            &[Step::Send(
                "HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-type: text/plain\r\ncontent-length: 6\r\n\r\noops\n\n",
            )],
            "",
            false,
        ),
        (
            "from the start again",
            &[
                Step::Send(STREAM_HEAD),
                Step::Send("f\r\nid: 1\ndata: a\n\n\r\nf\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n"),
            ],
            "",
            false,
        ),
        (
            "cut head",
            &[Step::Send("HTTP/1.1 500 Oops\r\nx"), Step::Close],
            "",
            false,
        ),
    ];
    for (name, second, expected, is_complete) in cases {
        let scripts: &'static [&'static [Step]] =
            Box::leak(vec![STREAM_BEGUN, second].into_boxed_slice());
        let upstream = ScriptedUpstream::start(scripts).await;
        let kind = RequestKind::ResumableStream;
        let fixture = Fixture::start(kind, 10_000, &[&upstream]).await;
        let answer = fixture.call("/stock/1", &key()).await;
        assert_eq!(status(&answer), 200, "{name}: {answer}");
        assert_eq!(answer.matches("id: 1\n").count(), 1, "{name}: {answer}");
        assert!(answer.contains(expected), "{name}: {answer}");
        assert!(!answer.contains("oops"), "{name}: {answer}");
        assert!(!answer[10..].contains("HTTP/1.1"), "{name}: {answer}");
        assert_eq!(answer.ends_with(END), is_complete, "{name}: {answer}");
        fixture.daemon.stop().await;
    }
}

/// Guards against a caller who is told that its request was not run because its last attempt was
/// refused and it waited for another one until its deadline: one before it was lost, or ended with
/// an error, and may have run. Also against an error that was there and never reached the caller.
#[ntex::test]
async fn refused_retry_does_not_hide_an_attempt_that_may_have_run() {
    const ERROR: &str = "HTTP/1.1 500 Oops\r\nx-id: r1\r\ncontent-length: 0\r\n\r\n";
    const HELD: &[Step] = &[Step::Wait(Duration::from_secs(20))];
    const REFUSED: &[Step] = &[Step::Wait(Duration::from_millis(100)), Step::Send(REFUSAL)];
    const BUSY: &[&[Step]] = &[HELD, HELD, HELD, HELD, HELD, HELD, HELD, REFUSED];
    let cases: [(&str, RequestKind, &'static [&'static [Step]]); 4] = [
        ("lost", RequestKind::Idempotent, &[&[Step::Close]]),
        (
            "lost stream",
            RequestKind::ResumableStream,
            &[&[Step::Close]],
        ),
        ("error", RequestKind::Idempotent, &[&[Step::Send(ERROR)]]),
        (
            "error of a stream",
            RequestKind::ResumableStream,
            &[&[Step::Send(ERROR)]],
        ),
    ];
    for (name, kind, scripts) in cases {
        let busy = ScriptedUpstream::start(BUSY).await;
        let failing = ScriptedUpstream::start(scripts).await;
        let fixture = Fixture::start(kind, 30_000, &[&busy]).await;
        let mut held = Vec::new();
        while held.len() < 7 {
            held.push(fixture.send("/stock/1", &key()).await);
            while busy.request_count() < held.len() {
                sleep(Duration::from_millis(5)).await;
            }
        }
        let set_failing = |rows: Vec<_>| fixture.rows.lock().unwrap().upstreams = rows;
        set_failing(vec![upstream(1, &busy), upstream(2, &failing)]);
        sleep(Duration::from_millis(300)).await;
        let headers = format!("{}x-wait-ms: 150\r\n", key());
        let remove_failing = async {
            while failing.request_count() == 0 {
                sleep(Duration::from_millis(1)).await;
            }
            set_failing(vec![upstream(1, &busy)]);
        };
        let (answer, ()) = tokio::join!(fixture.call("/stock/1", &headers), remove_failing);
        // The upstream's own error is passed on.
        let expected = if name.starts_with("error") { 500 } else { 504 };
        assert_eq!(status(&answer), expected, "{name}: {answer}");
        drop(held);
        fixture.daemon.stop().await;
    }
}
