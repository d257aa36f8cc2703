//! Planned stops of a daemon that serves routed requests.

use std::time::Duration;

use futures::future::{join, join_all};
use settings::{Host, RequestKind};
use standin::sample_host;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    time::{Instant, sleep, timeout},
};

#[allow(dead_code, reason = "each test file uses a part of it")]
mod routed_support;

use routed_support::{Fixture, KEY, ScriptedUpstream, Step};

/// Slots of the fixture's upstream.
const SLOTS: usize = 8;

const OK: &[Step] = &[Step::Send(
    "HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-length: 9\r\n\r\ndata: a\n\n",
)];

const UNRESPONSIVE: &[Step] = &[Step::Wait(Duration::from_secs(30))];

const STALLED_STREAM: &[Step] = &[
    Step::Send(
        "HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
    ),
    Step::Send("f\r\nid: 1\ndata: a\n\n\r\n"),
    Step::Wait(Duration::from_secs(30)),
];

/// Returns a host that has this long to stop.
fn stopping_host(drain_min_ms: u64, drain_max_ms: u64) -> Host {
    let mut host = sample_host("entry-1", ([127, 0, 0, 1], 0).into());
    host.drain_min_ms = drain_min_ms;
    host.drain_max_ms = drain_max_ms;
    host
}

fn headers() -> String {
    format!("x-key: {KEY}\r\n")
}

/// Reads everything that the daemon sends until it closes the connection.
async fn read_to_end(mut stream: TcpStream) -> String {
    let mut response = Vec::new();
    // A reset after the response is as good as a normal close here.
    let _ = timeout(Duration::from_secs(20), stream.read_to_end(&mut response))
        .await
        .expect("the connection stays open");
    String::from_utf8_lossy(&response).into_owned()
}

/// Waits until so many requests have reached the upstream.
async fn wait_for_requests(upstream: &ScriptedUpstream, count: usize) {
    for _ in 0..2_000 {
        if upstream.request_count() >= count {
            return;
        }
        sleep(Duration::from_millis(5)).await;
    }
    panic!("{} of {count} requests", upstream.request_count());
}

/// Returns the status and the result code of a complete response.
fn result_of(response: &str) -> (u16, u16) {
    let (head, body) = response.split_once("\r\n\r\n").unwrap_or((response, ""));
    let number = |text: Option<&str>| text.and_then(|text| text.trim().parse().ok());
    let header = |name: &str| {
        let mut lines = head.lines();
        number(lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(':')))
    };
    if head.contains("transfer-encoding: chunked") {
        assert!(body.ends_with("0\r\n\r\n"), "{response:?}");
    } else {
        let length: Option<u16> = header("content-length");
        assert_eq!(length.map(usize::from), Some(body.len()), "{response:?}");
    }
    let status = number(head.split(' ').nth(1));
    (status.unwrap_or(0), header("x-result-code").unwrap_or(0))
}

/// Guards against requests that are cut off without an answer when a stop is out of time: those that
/// wait for a slot were never sent, and those that upstreams work on may have run.
#[ntex::test]
async fn requests_that_a_stop_cannot_finish_are_answered() {
    for kind in [
        RequestKind::NonIdempotent,
        RequestKind::Idempotent,
        RequestKind::Stream,
        RequestKind::ResumableStream,
    ] {
        let upstream = ScriptedUpstream::start(&[UNRESPONSIVE]).await;
        let host = stopping_host(100, 500);
        let fixture = Fixture::start_host(host, kind, 15_000, &[&upstream]).await;
        let mut sent = Vec::new();
        for _ in 0..SLOTS + 3 {
            sent.push(fixture.send("/stock/1", &headers()).await);
        }
        wait_for_requests(&upstream, SLOTS).await;
        let answers = join_all(sent.into_iter().map(read_to_end));
        let (answers, ()) = join(answers, fixture.daemon.stop()).await;
        let mut results: Vec<_> = answers.iter().map(|answer| result_of(answer)).collect();
        results.sort_unstable();
        let expected = [vec![(502, 4007); SLOTS], vec![(503, 3004); 3]].concat();
        assert_eq!(results, expected, "{kind:?}");
    }
}

/// Guards against a stream that is cut by the end of a stop and looks complete.
#[ntex::test]
async fn a_stream_that_a_stop_cuts_looks_broken_off() {
    let upstream = ScriptedUpstream::start(&[STALLED_STREAM]).await;
    let host = stopping_host(0, 300);
    let fixture = Fixture::start_host(host, RequestKind::Stream, 15_000, &[&upstream]).await;
    let sent = fixture.send("/stock/1", &headers()).await;
    wait_for_requests(&upstream, 1).await;
    let (answer, ()) = join(read_to_end(sent), fixture.daemon.stop()).await;
    assert!(answer.contains("id: 1\ndata: a\n\n"), "{answer}");
    assert!(!answer.ends_with("0\r\n\r\n"), "{answer}");
}

/// Sends the head of a request with a body of two bytes, and returns its connection.
async fn send_head(fixture: &Fixture) -> TcpStream {
    let mut stream = TcpStream::connect(fixture.daemon.listen()).await.unwrap();
    let request = format!(
        "POST /stock/1 HTTP/1.1\r\nhost: shop.example\r\nx-id: r1\r\ncontent-length: 2\r\n{}\r\n",
        headers()
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    stream
}

/// Guards against a daemon that ends while a request is still being received: the request was read
/// whole and cut off, or its caller could not tell that it was not run.
#[ntex::test]
async fn requests_that_are_being_received_are_answered() {
    // The first part of the time to stop, in which all is served, ends before the body arrives.
    let body_at = [Duration::from_millis(600), Duration::from_millis(1_200)];
    for kind in [RequestKind::NonIdempotent, RequestKind::Stream] {
        let upstream = ScriptedUpstream::start(&[OK]).await;
        let host = stopping_host(100, 10_000);
        let fixture = Fixture::start_host(host, kind, 3_000, &[&upstream]).await;
        let mut answers = Vec::new();
        for at in body_at {
            let mut stream = send_head(&fixture).await;
            answers.push(async move {
                sleep(at).await;
                // A daemon that has ended refuses the rest.
                let _ = stream.write_all(b"ab").await;
                (read_to_end(stream).await, Instant::now())
            });
        }
        sleep(Duration::from_millis(50)).await;
        let stop = async {
            fixture.daemon.stop().await;
            Instant::now()
        };
        let (answers, stopped_at) = join(join_all(answers), stop).await;
        for (answer, answered_at) in answers {
            assert_eq!(result_of(&answer), (200, 0), "{kind:?}");
            // The process ends then.
            assert!(answered_at <= stopped_at, "{kind:?}");
        }
    }
}

/// Guards against a caller that sends slowly and keeps a daemon from ending in time, or gets no
/// answer then.
#[ntex::test]
async fn a_request_that_arrives_too_slowly_is_refused_at_the_end() {
    let upstream = ScriptedUpstream::start(&[OK]).await;
    let host = stopping_host(0, 300);
    let kind = RequestKind::NonIdempotent;
    let fixture = Fixture::start_host(host, kind, 15_000, &[&upstream]).await;
    let mut stream = send_head(&fixture).await;
    stream.write_all(b"a").await.unwrap();
    sleep(Duration::from_millis(50)).await;
    let (answer, ()) = join(read_to_end(stream), fixture.daemon.stop()).await;
    assert_eq!(result_of(&answer), (503, 3004));
    assert_eq!(upstream.request_count(), 0);
}

/// Guards against requests that are passed on late in the time to stop, when they may not be finished
/// before its end: one that may not be repeated was cut. One that ends in time whatever its upstream
/// does is served.
#[ntex::test]
async fn late_requests_are_passed_on_only_if_they_end_in_time() {
    for (timeout_ms, expected, passed_on) in [(15_000, (503, 3004), 0), (1_500, (504, 4005), 1)] {
        for kind in [RequestKind::NonIdempotent, RequestKind::Stream] {
            let upstream = ScriptedUpstream::start(&[UNRESPONSIVE]).await;
            let host = stopping_host(100, 4_000);
            let fixture = Fixture::start_host(host, kind, timeout_ms, &[&upstream]).await;
            let mut stream = send_head(&fixture).await;
            sleep(Duration::from_millis(50)).await;
            let answer = async {
                sleep(Duration::from_millis(500)).await;
                stream.write_all(b"ab").await.unwrap();
                read_to_end(stream).await
            };
            let (answer, ()) = join(answer, fixture.daemon.stop()).await;
            assert_eq!(result_of(&answer), expected, "{kind:?} {timeout_ms}");
            assert_eq!(upstream.request_count(), passed_on, "{kind:?} {timeout_ms}");
        }
    }
}
