//! Routed requests to upstreams that reject requests, close connections, stop responding or fail.

use std::time::Duration;

use daemon::adapter::ListedHost;
use peer::{Frame, Keys};
use settings::{Host, RequestKind, UpstreamLifecycle};
use standin::sample_host;
use tokio::{
    io::AsyncWriteExt as _,
    net::TcpListener,
    time::{Instant, sleep},
};

mod routed_support;

use routed_support::{Fixture, KEY, ScriptedUpstream, Step, config};

const OK: &[Step] = &[Step::Send(
    "HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-length: 2\r\n\r\nok",
)];
const NOT_RUN: &[Step] = &[Step::Send(
    "HTTP/1.1 503 Service Unavailable\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n",
)];
const FAILED: &[Step] = &[Step::Send(
    "HTTP/1.1 500 Internal Server Error\r\nx-id: r1\r\ncontent-length: 3\r\n\r\nbad",
)];
const LOST: &[Step] = &[Step::Close];
const OTHER_REQUEST: &[Step] = &[Step::Send(
    "HTTP/1.1 200 OK\r\nx-id: r0\r\ncontent-length: 2\r\n\r\nno",
)];
const TRUNCATED: &[Step] = &[
    Step::Send("HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-length: 9\r\n\r\nok"),
    Step::Close,
];
const UNRESPONSIVE: &[Step] = &[Step::Wait(Duration::from_secs(30))];

/// One script per request, in order.
type Scripts = &'static [&'static [Step]];

const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
const STREAM_FIRST_HALF: &[Step] = &[
    Step::Send(STREAM_HEAD),
    Step::Send("f\r\nid: 1\ndata: a\n\n\r\n"),
    Step::Send("6\r\nid: 2\n\r\n"),
    Step::Close,
];
const STREAM_IN_ONE_WRITE: &[Step] = &[
    Step::Send(
        "HTTP/1.1 200 OK\r\nx-id: r1\r\ntransfer-encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n6\r\nid: 2\n\r\n",
    ),
    Step::Close,
];
const STREAM_SECOND_HALF: &[Step] = &[
    Step::Send(STREAM_HEAD),
    Step::Send("f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n"),
];
const STREAM_STALLED: &[Step] = &[
    Step::Send(STREAM_HEAD),
    Step::Send("f\r\nid: 1\ndata: a\n\n\r\n"),
    Step::Wait(Duration::from_secs(30)),
];

fn status(answer: &str) -> u16 {
    let status = answer.split(' ').nth(1).and_then(|word| word.parse().ok());
    status.unwrap_or_else(|| panic!("no answer: {answer:?}"))
}

fn key() -> String {
    format!("x-key: {KEY}\r\n")
}

/// Guards against a request that is retried although it may have been executed, and against a
/// status that claims it was not.
#[ntex::test]
async fn what_may_have_run_is_repeated_only_if_the_route_allows_it() {
    use RequestKind::{Idempotent, NonIdempotent, Stream};
    let cases: [(&str, RequestKind, Scripts, u16, usize); 11] = [
        ("complete", NonIdempotent, &[OK], 200, 1),
        ("rejected, then run", NonIdempotent, &[NOT_RUN, OK], 200, 2),
        ("rejected always", NonIdempotent, &[NOT_RUN], 503, 3),
        ("lost", NonIdempotent, &[LOST, OK], 502, 1),
        (
            "answer to another request",
            NonIdempotent,
            &[OTHER_REQUEST, OK],
            502,
            1,
        ),
        ("broken off", NonIdempotent, &[TRUNCATED, OK], 502, 1),
        ("failed", NonIdempotent, &[FAILED, OK], 500, 1),
        ("lost, repeatable", Idempotent, &[LOST, OK], 200, 2),
        ("failed, repeatable", Idempotent, &[FAILED, OK], 200, 2),
        ("failed twice, repeatable", Idempotent, &[FAILED], 500, 2),
        ("lost stream", Stream, &[LOST, OK], 502, 1),
    ];
    for (name, kind, scripts, expected, sends) in cases {
        let upstream = ScriptedUpstream::start(scripts).await;
        let fixture = Fixture::start(kind, 10_000, &[&upstream]).await;
        let answer = fixture.call("/stock/1", &key()).await;
        assert_eq!(status(&answer), expected, "{name}: {answer}");
        assert_eq!(upstream.request_count(), sends, "{name}");
        if expected == 500 {
            assert!(answer.ends_with("bad"), "{name}: {answer}");
        }
        fixture.daemon.stop().await;
    }
}

/// Guards against forwarding a request without a key, with a wrong key or for an unknown path, and
/// against forwarding the key.
#[ntex::test]
async fn only_what_the_configuration_allows_is_sent() {
    let upstream = ScriptedUpstream::start(&[OK]).await;
    let fixture = Fixture::start(RequestKind::Idempotent, 10_000, &[&upstream]).await;
    assert_eq!(status(&fixture.call("/stock/1", "").await), 401);
    assert_eq!(
        status(&fixture.call("/stock/1", "x-key: other\r\n").await),
        401
    );
    assert_eq!(status(&fixture.call("/stocks/1", &key()).await), 404);
    assert_eq!(upstream.request_count(), 0);
    assert_eq!(status(&fixture.call("/stock/a%20b?c=d", &key()).await), 200);
    let head = upstream.heads.lock().unwrap()[0].clone();
    assert!(
        head.starts_with("GET /stock/a%20b?c=d HTTP/1.1\r\n"),
        "{head}"
    );
    assert!(
        !head.contains(KEY) && head.contains("x-to: parts-1"),
        "{head}"
    );
    fixture.daemon.stop().await;
}

/// Guards against a resumed stream with a missing or repeated event, and against a broken stream
/// that looks complete.
#[ntex::test]
async fn streams_continue_or_break_off_visibly() {
    for (kind, continued) in [
        (RequestKind::ResumableStream, true),
        (RequestKind::Stream, false),
    ] {
        let upstream = ScriptedUpstream::start(&[STREAM_FIRST_HALF, STREAM_SECOND_HALF]).await;
        let fixture = Fixture::start(kind, 10_000, &[&upstream]).await;
        let answer = fixture.call("/stock/1", &key()).await;
        assert_eq!(status(&answer), 200, "{kind:?}: {answer}");
        assert!(answer.contains("id: 1\ndata: a\n\n"), "{kind:?}: {answer}");
        assert_eq!(
            answer.matches("id: 2").count(),
            usize::from(continued),
            "{answer}"
        );
        assert_eq!(
            answer.ends_with("0\r\n\r\n"),
            continued,
            "{kind:?}: {answer}"
        );
        if continued {
            assert!(upstream.heads.lock().unwrap()[1].contains("x-after: 1"));
        }
        fixture.daemon.stop().await;
    }
}

/// Guards against losing the events right before a stream breaks off: the caller got no response at
/// all when the events and the end of the connection arrived together.
#[ntex::test]
async fn events_before_a_break_are_delivered() {
    for _ in 0..20 {
        let upstream = ScriptedUpstream::start(&[STREAM_IN_ONE_WRITE]).await;
        let fixture = Fixture::start(RequestKind::Stream, 10_000, &[&upstream]).await;
        let answer = fixture.call("/stock/1", &key()).await;
        assert_eq!(status(&answer), 200, "{answer}");
        assert!(answer.contains("id: 1\ndata: a\n\n"), "{answer}");
        assert!(!answer.ends_with("0\r\n\r\n"), "{answer}");
        fixture.daemon.stop().await;
    }
}

/// Guards against responses that last beyond the route's timeout, before and after their start.
#[ntex::test]
async fn the_timeout_of_a_route_ends_every_answer() {
    let cases: [(&str, RequestKind, Scripts, u16); 3] = [
        ("silent", RequestKind::Idempotent, &[UNRESPONSIVE], 504),
        ("silent stream", RequestKind::Stream, &[UNRESPONSIVE], 504),
        (
            "stalled stream",
            RequestKind::Stream,
            &[STREAM_STALLED],
            200,
        ),
    ];
    for (name, kind, scripts, expected) in cases {
        let upstream = ScriptedUpstream::start(scripts).await;
        let fixture = Fixture::start(kind, 300, &[&upstream]).await;
        let started_at = Instant::now();
        let answer = fixture.call("/stock/1", &key()).await;
        assert_eq!(status(&answer), expected, "{name}: {answer}");
        assert!(
            !answer.ends_with("0\r\n\r\n") || expected != 200,
            "{name}: {answer}"
        );
        // The target is half a second after the timeout; the limit allows for a busy machine.
        assert!(started_at.elapsed() < Duration::from_secs(10), "{name}");
        fixture.daemon.stop().await;
    }
}

/// Guards against an upstream in trouble that sends an event without end until the caller closes: it
/// filled the memory of the host until the route's timeout. The stream breaks off at once, visibly,
/// and the connection is closed.
#[ntex::test]
async fn an_event_without_end_ends_the_attempt() {
    // A chunk of 1 MiB in hexadecimal digits, of which a part is enough.
    let endless: &'static str = Box::leak(format!("100000\r\n{}", "x".repeat(200_000)).into());
    let wait = Step::Wait(Duration::from_secs(30));
    let first: &'static [Step] = vec![Step::Send(STREAM_HEAD), Step::Send(endless), wait].leak();
    let later: &'static [Step] = vec![
        Step::Send(STREAM_HEAD),
        Step::Send("f\r\nid: 1\ndata: a\n\n\r\n"),
        Step::Send(endless),
        wait,
    ]
    .leak();
    for (script, expected) in [(first, 502), (later, 200)] {
        let scripts: Scripts = vec![script].leak();
        let upstream = ScriptedUpstream::start(scripts).await;
        let fixture = Fixture::start(RequestKind::Stream, 20_000, &[&upstream]).await;
        let started_at = Instant::now();
        let answer = fixture.call("/stock/1", &key()).await;
        assert_eq!(status(&answer), expected, "{answer:.200}");
        assert!(
            !answer.contains("xxx") && !answer.ends_with("0\r\n\r\n"),
            "{answer:.200}"
        );
        assert!(started_at.elapsed() < Duration::from_secs(10));
        for _ in 0..2_000 {
            if *upstream.aborted.lock().unwrap() > 0 {
                break;
            }
            sleep(Duration::from_millis(5)).await;
        }
        assert_eq!(*upstream.aborted.lock().unwrap(), 1);
        fixture.daemon.stop().await;
    }
}

/// Guards against an upstream that continues to work for a caller that has disconnected, also while
/// a stream is idle.
#[ntex::test]
async fn a_caller_that_leaves_ends_the_work() {
    for scripts in [&[UNRESPONSIVE] as Scripts, &[STREAM_STALLED]] {
        let upstream = ScriptedUpstream::start(scripts).await;
        let fixture = Fixture::start(RequestKind::Stream, 30_000, &[&upstream]).await;
        let caller = fixture.send("/stock/1", &key()).await;
        for _ in 0..2_000 {
            if upstream.request_count() > 0 {
                break;
            }
            sleep(Duration::from_millis(5)).await;
        }
        sleep(Duration::from_millis(100)).await;
        drop(caller);
        for _ in 0..2_000 {
            if *upstream.aborted.lock().unwrap() > 0 {
                break;
            }
            sleep(Duration::from_millis(5)).await;
        }
        assert_eq!(*upstream.aborted.lock().unwrap(), 1);
        fixture.daemon.stop().await;
    }
}

/// Guards against a configuration that reverts to an older version, and against work for an
/// upstream that is leaving.
#[ntex::test]
async fn configurations_and_leaving_upstreams_are_followed() {
    let (first, second) = (
        ScriptedUpstream::start(&[OK]).await,
        ScriptedUpstream::start(&[OK]).await,
    );
    let fixture = Fixture::start(RequestKind::Idempotent, 10_000, &[&first, &second]).await;
    {
        let mut rows = fixture.rows.lock().unwrap();
        rows.upstreams[0].state = UpstreamLifecycle::Leaving;
        let mut newer = config(7, RequestKind::Idempotent, 10_000);
        newer.routes[0].path_prefix = "/new/".to_owned();
        rows.config = Some(newer);
    }
    fixture.wait_for_version(7).await;
    // An older version, as from a lagging replica, changes nothing.
    fixture.rows.lock().unwrap().config = Some(config(3, RequestKind::Idempotent, 10_000));
    sleep(Duration::from_millis(200)).await;
    let request_count = first.request_count();
    assert_eq!(status(&fixture.call("/stock/1", &key()).await), 404);
    for _ in 0..8 {
        assert_eq!(status(&fixture.call("/new/1", &key()).await), 200);
    }
    assert_eq!(
        (first.request_count(), second.request_count()),
        (request_count, 8)
    );
    fixture.daemon.stop().await;
}

/// Guards against work for an upstream that left during an outage of the store and is kept beyond
/// its grace period of 2.5 s, for as long as the store holds back the next answer.
#[ntex::test]
async fn the_grace_of_missing_upstreams_ends_in_time() {
    let (first, second) = (
        ScriptedUpstream::start(&[OK]).await,
        ScriptedUpstream::start(&[OK]).await,
    );
    let mut host = sample_host("entry-1", ([127, 0, 0, 1], 0).into());
    // Reads 2 s apart that the store holds back for up to 2.5 s.
    host.store_poll_ms = 6_000;
    let fixture =
        Fixture::start_host(host, RequestKind::Idempotent, 10_000, &[&first, &second]).await;
    fixture.rows.lock().unwrap().is_unreachable = true;
    sleep(Duration::from_millis(2_500)).await;
    {
        let mut rows = fixture.rows.lock().unwrap();
        rows.upstreams.remove(1);
        rows.is_unreachable = false;
    }
    // Failed reads are at most 0.9 s apart, so that the grace period has begun then.
    sleep(Duration::from_secs(1)).await;
    fixture.rows.lock().unwrap().holds_back = true;
    sleep(Duration::from_millis(2_800)).await;
    let request_count = second.request_count();
    for _ in 0..8 {
        assert_eq!(status(&fixture.call("/stock/1", &key()).await), 200);
    }
    assert_eq!(second.request_count(), request_count);
    fixture.daemon.stop().await;
}

/// Starts a daemon of the same zone that accepts followers and sends them a byte now and then.
async fn start_stalled_parent(host: &Host) -> ListedHost {
    // A daemon follows one with a lower hash of its name.
    let hash = |name: &str| xxhash_rust::xxh3::xxh3_64(name.as_bytes());
    let mut names = (0..).map(|number| format!("parent-{number}"));
    let name = names.find(|name| hash(name) < hash(&host.name)).unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let challenge = Frame {
        from: name.clone(),
        to: String::new(),
        echoed_nonce: 0,
        nonce: 7,
        body: Vec::new(),
    };
    let challenge = challenge.seal(&Keys::new(&host.peer_keys).unwrap());
    ntex::rt::spawn(async move {
        while let Ok((mut follower, _)) = listener.accept().await {
            let length = u32::try_from(challenge.len()).unwrap().to_be_bytes();
            let head = [&length[..], &challenge, &1_000_u32.to_be_bytes()].concat();
            ntex::rt::spawn(async move {
                let mut sent = follower.write_all(&head).await;
                while sent.is_ok() {
                    sleep(Duration::from_millis(300)).await;
                    sent = follower.write_all(b"x").await;
                }
            });
        }
    });
    ListedHost::new(&name, address).with_locality(&host.region, &host.zone)
}

/// Guards against a host that never serves because the daemon that it follows sends a byte now and
/// then, but no update.
#[ntex::test]
async fn a_stalled_parent_is_given_up() {
    let upstream = ScriptedUpstream::start(&[OK]).await;
    let host = sample_host("entry-1", ([127, 0, 0, 1], 0).into());
    let parent = start_stalled_parent(&host).await;
    let (kind, upstreams) = (RequestKind::Idempotent, [&upstream]);
    let fixture = Fixture::start_with_daemons(host, kind, 2_000, &upstreams, vec![parent]).await;
    let began = Instant::now();
    let mut served = false;
    while !served && began.elapsed() < Duration::from_secs(15) {
        served = status(&fixture.call("/stock/1", &key()).await) == 200;
    }
    assert!(served);
    fixture.daemon.stop().await;
}

/// Guards against engines that preempt a client account's urgent requests for its bulk requests:
/// the account's tier takes precedence, then the route's.
#[ntex::test]
async fn the_rank_of_the_account_goes_before_the_routes() {
    for (account, route, expected) in [
        (None, 1, 1),
        (Some(0), 2, 2),
        (Some(1), 0, 3),
        (Some(1), 7, 5),
    ] {
        let upstream = ScriptedUpstream::start(&[OK]).await;
        let fixture = Fixture::start(RequestKind::Idempotent, 10_000, &[&upstream]).await;
        let mut ranked = config(2, RequestKind::Idempotent, 10_000);
        ranked.accounts[0].tier = account;
        ranked.routes[0].tier = route;
        fixture.rows.lock().unwrap().config = Some(ranked);
        fixture.wait_for_version(2).await;
        let prompt = format!("{}x-prompt: 1\r\n", key());
        assert_eq!(status(&fixture.call("/stock/1", &prompt).await), 200);
        let head = upstream.heads.lock().unwrap()[0].clone();
        assert!(
            head.contains(&format!("x-rank: {expected}\r\n")),
            "{account:?} {route}: {head}"
        );
        fixture.daemon.stop().await;
    }
}
