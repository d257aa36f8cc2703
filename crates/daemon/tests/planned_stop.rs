//! Planned stops of a daemon that serves routed requests.

use std::time::Duration;

use futures::future::{join, join_all};
use settings::{Host, RequestKind};
use standin::sample_host;
use tokio::{
    io::AsyncReadExt as _,
    net::TcpStream,
    time::{sleep, timeout},
};

#[allow(dead_code, reason = "each test file uses a part of it")]
mod routed_support;

use routed_support::{Fixture, KEY, ScriptedUpstream, Step};

/// Slots of the fixture's upstream.
const SLOTS: usize = 8;

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
    let length: Option<u16> = header("content-length");
    assert_eq!(length.map(usize::from), Some(body.len()), "{response:?}");
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
