//! Tests of a daemon whose upstreams say that they are leaving or want a pause.

mod routed_support;

use std::time::Duration;

use routed_support::{Fixture, KEY, ScriptedUpstream, Step, config};
use settings::RequestKind;
use tokio::{
    io::AsyncReadExt as _,
    time::{Instant, sleep},
};

const ANSWER: &str = "HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-length: 2\r\n\r\nok";
const LAST_ANSWER: &str =
    "HTTP/1.1 200 OK\r\nx-id: r1\r\nx-leaving: 1\r\ncontent-length: 2\r\n\r\nok";
const UNFRAMED_LAST_ANSWER: &str = "HTTP/1.1 200 OK\r\nx-id: r1\r\nx-leaving: 1\r\n\r\nok";
const ERROR_OF_LEAVING: &str =
    "HTTP/1.1 500 Oops\r\nx-id: r1\r\nx-leaving: 1\r\ncontent-length: 2\r\n\r\nno";
const REJECTION_OF_LEAVING: &str =
    "HTTP/1.1 503 Busy\r\nx-id: r1\r\nx-not-run: 1\r\nx-leaving: 1\r\ncontent-length: 0\r\n\r\n";
const STREAM_OF_LEAVING: &str = "HTTP/1.1 200 OK\r\nx-id: r1\r\nx-leaving: 1\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
const STREAM: &str = "HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
const EVENT: &str = "f\r\nid: 1\ndata: a\n\n\r\n";
const END: &str = "0\r\n\r\n";
const PAUSE_2S: &str =
    "HTTP/1.1 503 Busy\r\nx-id: r1\r\nx-not-run: 1\r\nx-pause: 2\r\ncontent-length: 0\r\n\r\n";
const PAUSE_60S: &str =
    "HTTP/1.1 503 Busy\r\nx-id: r1\r\nx-not-run: 1\r\nx-pause: 60\r\ncontent-length: 0\r\n\r\n";
const PAUSE_INVALID: &str =
    "HTTP/1.1 503 Busy\r\nx-id: r1\r\nx-not-run: 1\r\nx-pause: -5\r\ncontent-length: 0\r\n\r\n";

fn key() -> String {
    format!("x-key: {KEY}\r\n")
}

fn status(answer: &str) -> u16 {
    let status = answer.split(' ').nth(1).and_then(|word| word.parse().ok());
    status.unwrap_or_else(|| panic!("no answer: {answer:?}"))
}

/// Returns the `Retry-After` of an answer.
fn retry_after_s(answer: &str) -> f64 {
    let mut lines = answer.lines();
    let value = lines.find_map(|line| line.strip_prefix("retry-after: "));
    value.unwrap().parse().unwrap()
}

async fn call_until_sent(fixture: &Fixture, upstream: &ScriptedUpstream) -> String {
    loop {
        let answer = fixture.call("/stock/1", &key()).await;
        if upstream.request_count() > 0 {
            return answer;
        }
    }
}

/// Guards against requests for an upstream that has said in any answer that it is leaving, although
/// the store lists it as ready, is read anew, or can't be reached.
#[ntex::test]
async fn upstream_that_says_it_leaves_gets_no_further_request() {
    let cases: [(&str, RequestKind, &'static [&'static [Step]]); 5] = [
        (
            "success that ends with its connection",
            RequestKind::NonIdempotent,
            &[&[Step::Send(UNFRAMED_LAST_ANSWER), Step::Close]],
        ),
        (
            "success",
            RequestKind::NonIdempotent,
            &[&[Step::Send(LAST_ANSWER)]],
        ),
        (
            "error",
            RequestKind::NonIdempotent,
            &[&[Step::Send(ERROR_OF_LEAVING)]],
        ),
        (
            "rejection",
            RequestKind::NonIdempotent,
            &[&[Step::Send(REJECTION_OF_LEAVING)]],
        ),
        (
            "head of a stream",
            RequestKind::Stream,
            &[&[
                Step::Send(STREAM_OF_LEAVING),
                Step::Send(EVENT),
                Step::Send(END),
            ]],
        ),
    ];
    for (name, kind, scripts) in cases {
        let leaving = ScriptedUpstream::start(scripts).await;
        let other = ScriptedUpstream::start(&[&[Step::Send(ANSWER)]]).await;
        let fixture = Fixture::start(kind, 10_000, &[&leaving, &other]).await;
        call_until_sent(&fixture, &leaving).await;
        for step in ["listed as ready", "read anew", "outage"] {
            match step {
                "read anew" => {
                    fixture.rows.lock().unwrap().config = Some(config(2, kind, 10_000));
                    fixture.wait_for_version(2).await;
                }
                "outage" => fixture.rows.lock().unwrap().is_unreachable = true,
                _ => {}
            }
            for _ in 0..10 {
                fixture.call("/stock/1", &key()).await;
            }
            let count = leaving.request_count();
            assert_eq!(count, 1, "{name}, {step}");
        }
        fixture.daemon.stop().await;
    }
}

/// Guards against a late answer to a request that was sent before, and against requests that were
/// chosen for the upstream while its answer came.
#[ntex::test]
async fn word_of_leaving_counts_before_its_answer_is_passed_on() {
    const LEAVING: &[&[Step]] = &[&[
        Step::Send(STREAM_OF_LEAVING),
        Step::Wait(Duration::from_millis(500)),
        Step::Send(EVENT),
        Step::Send(END),
    ]];
    const OTHER: &[&[Step]] = &[&[
        Step::Send(STREAM),
        Step::Wait(Duration::from_millis(500)),
        Step::Send(EVENT),
        Step::Send(END),
    ]];
    let leaving = ScriptedUpstream::start(LEAVING).await;
    let other = ScriptedUpstream::start(OTHER).await;
    let fixture = Fixture::start(RequestKind::Stream, 10_000, &[&leaving, &other]).await;
    let mut waiting = Vec::new();
    while leaving.request_count() == 0 {
        waiting.push(fixture.send("/stock/1", &key()).await);
        sleep(Duration::from_millis(20)).await;
    }
    // The head arrives before the first event, which ends none of these requests.
    sleep(Duration::from_millis(50)).await;
    for _ in 0..7 {
        waiting.push(fixture.send("/stock/1", &key()).await);
        sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(leaving.request_count(), 1);
    assert_eq!(*leaving.aborted.lock().unwrap(), 0, "its request goes on");
    for mut stream in waiting {
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.unwrap();
        assert!(
            answer.contains("id: 1\n") && answer.ends_with(END),
            "{answer}"
        );
    }
    fixture.daemon.stop().await;
}

/// Guards against requests within the pause that an upstream asked for, also across a configuration,
/// and against a request that the pause turned away being refused instead of going elsewhere.
#[ntex::test]
async fn upstream_that_asks_for_a_pause_gets_no_request_until_its_end() {
    let paused = ScriptedUpstream::start(&[&[Step::Send(PAUSE_2S)], &[Step::Send(ANSWER)]]).await;
    let other = ScriptedUpstream::start(&[&[Step::Send(ANSWER)]]).await;
    let kind = RequestKind::NonIdempotent;
    let fixture = Fixture::start(kind, 10_000, &[&paused, &other]).await;
    let answer = call_until_sent(&fixture, &paused).await;
    assert_eq!(status(&answer), 200, "{answer}");
    let asked_at = Instant::now();
    fixture.rows.lock().unwrap().config = Some(config(2, kind, 10_000));
    fixture.wait_for_version(2).await;
    while asked_at.elapsed() < Duration::from_millis(1_800) {
        let answer = fixture.call("/stock/1", &key()).await;
        assert_eq!(status(&answer), 200, "{answer}");
        assert_eq!(paused.request_count(), 1);
    }
    while paused.request_count() == 1 {
        assert!(
            asked_at.elapsed() < Duration::from_secs(10),
            "does not return"
        );
        fixture.call("/stock/1", &key()).await;
    }
    fixture.daemon.stop().await;
}

/// Guards against callers that wait in vain, or are told a wrong time, while all upstreams pause, and
/// against a bad value that takes an upstream out.
#[ntex::test]
async fn callers_are_told_the_earliest_return_while_all_upstreams_pause() {
    let long = ScriptedUpstream::start(&[&[Step::Send(PAUSE_60S)]]).await;
    let fixture = Fixture::start(RequestKind::NonIdempotent, 3_000, &[&long]).await;
    for attempt in 0..3 {
        let began = Instant::now();
        let answer = fixture.call("/stock/1", &key()).await;
        assert_eq!(status(&answer), 503, "{answer}");
        assert!(began.elapsed() < Duration::from_secs(1), "{attempt}");
        let seconds = retry_after_s(&answer);
        assert!((55.0..=61.0).contains(&seconds), "{answer}");
    }
    assert_eq!(long.request_count(), 1);
    fixture.daemon.stop().await;

    let invalid =
        ScriptedUpstream::start(&[&[Step::Send(PAUSE_INVALID)], &[Step::Send(ANSWER)]]).await;
    let fixture = Fixture::start(RequestKind::NonIdempotent, 3_000, &[&invalid]).await;
    let answer = fixture.call("/stock/1", &key()).await;
    assert_eq!(status(&answer), 200, "{answer}");
    fixture.daemon.stop().await;
}
