//! Result codes that callers get for requests that failed or were refused.

mod support;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use daemon::Daemon;
use futures::future::{AbortHandle, abortable};
use standin::{SAMPLE_KEY, SAMPLE_MODEL, sample_config};
use support::{Platform, chat_body, daemon_with};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpSocket, TcpStream},
};

/// Starts an upstream that reads a part of a request, writes a part of a response and closes the
/// connection.
async fn cutting_upstream(read_bytes: usize, answer: Arc<[u8]>) -> (SocketAddr, AbortHandle) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (serve, handle) = abortable(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut request = vec![0; read_bytes];
            // Waits for all the bytes, so that the cut does not depend on timing.
            let _ = stream.read_exact(&mut request).await;
            let _ = stream.write_all(&answer).await;
            let _ = stream.flush().await;
        }
    });
    ntex::rt::spawn(serve);
    (address, handle)
}

/// Guards against reporting a request as not executed although it may have reached an upstream. The
/// connection is cut at many points of a request and its response.
#[ntex::test]
async fn holds_refusal_wherever_the_connection_is_cut() {
    let response = b"HTTP/1.1 201 Created\r\ncontent-length: 2\r\n\r\n{}";
    for read_bytes in [1, 20, 60, 100] {
        for written in [0, 1, 8, 12, 20, 30, response.len() - 3, response.len() - 1] {
            let platform = Platform::start(0).await;
            let answer: Arc<[u8]> = response[..written].into();
            let (address, handle) = cutting_upstream(read_bytes, answer).await;
            let config = sample_config(2, &[], &[address]);
            let daemon = daemon_with(&platform, &config).await;
            let path = "/services/inventory/reservations";
            let answer = platform.post(daemon.listen(), path, None, "{}").await;
            let (code, run) = answer.code();
            assert_ne!(run, "no", "{read_bytes} {written}: {code}");
            handle.abort();
            daemon.stop().await;
            platform.stop().await;
        }
    }
}

/// Guards against reporting the execution of a request as unknown although its upstream could not
/// be reached at all.
#[ntex::test]
async fn holds_refusal_when_nothing_was_sent() {
    let platform = Platform::start(0).await;
    // Bound but not listening: connections are refused, and no other test gets the port.
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let closed = socket.local_addr().unwrap();
    let daemon = daemon_with(&platform, &sample_config(2, &[], &[closed])).await;
    let path = "/services/inventory/reservations";
    for key in [None, Some("r-1")] {
        let answer = platform.post(daemon.listen(), path, key, "{}").await;
        assert_eq!(answer.code().1, "no", "{key:?} {}", answer.body);
    }
    daemon.stop().await;
    platform.stop().await;
}

/// Guards against bad input that is accepted, refused without a result code, or disturbs other
/// requests.
#[ntex::test]
async fn bad_input_gets_its_code() {
    let platform = Platform::start(1).await;
    let daemon = platform.daemon("entry-1").await;
    let chat = "/v1/chat/completions";
    let body = |model: &str| {
        chat_body("x len=2", false)
            .to_string()
            .replace(SAMPLE_MODEL, model)
    };
    let huge = format!("{{\"model\":\"{}\"}}", "x".repeat(2 << 20));
    let cases = [
        (chat, "{".to_owned(), 1001),
        (chat, "[1]".to_owned(), 1001),
        (chat, huge, 1002),
        (chat, body("nothing"), 1004),
        (chat, body(&format!("{SAMPLE_MODEL}@nothing")), 1005),
        ("/services/nothing/x", "{}".to_owned(), 1006),
        ("/v2/nothing", "{}".to_owned(), 1008),
    ];
    for (path, body, code) in cases {
        let answer = platform.post(daemon.listen(), path, None, &body).await;
        assert_eq!(
            answer.code(),
            (code, "no".to_owned()),
            "{path} {}",
            answer.body
        );
    }
    let url = format!("http://{}{chat}", daemon.listen());
    for key in ["", "Bearer wrong", "Basic eA=="] {
        let request = platform.client.post(&url).header("authorization", key);
        let answer = request.send_json(&chat_body("x", false)).await.unwrap();
        assert_eq!(answer.status().as_u16(), 401, "{key}");
    }
    let path = "/services/inventory/reservations";
    let answer = platform
        .post(daemon.listen(), path, Some("\"\""), "{}")
        .await;
    assert_eq!(answer.code().0, 5006);
    assert_eq!(
        platform
            .chat(daemon.listen(), "x len=2", false)
            .await
            .status,
        200
    );
    assert_eq!(platform.engines[0].stats().requests, 1);
    daemon.stop().await;
    platform.stop().await;
}

/// Guards against a slow sender that occupies a connection forever.
#[ntex::test]
async fn slow_sender_is_refused() {
    let platform = Platform::start(1).await;
    let mut host = platform.host("entry-1");
    host.receive_max_ms = 50;
    let daemon = Daemon::new(host).start().await.unwrap();
    platform.wait_ready(&daemon).await;
    let mut stream = TcpStream::connect(daemon.listen()).await.unwrap();
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {SAMPLE_KEY}\r\n\
         content-length: 100\r\n\r\n{{"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut answer = vec![0; 4096];
    let read = tokio::time::timeout(Duration::from_mins(1), stream.read(&mut answer)).await;
    let length = read.expect("an answer").unwrap();
    let answer = String::from_utf8_lossy(&answer[..length]).into_owned();
    assert!(
        answer.contains("408") && answer.contains("1007"),
        "{answer}"
    );
    daemon.stop().await;
    platform.stop().await;
}

/// Guards against a body of legal size whose values take many times the memory of its text.
#[ntex::test]
async fn body_of_many_values_is_refused_on_a_small_host() {
    let platform = Platform::start(1).await;
    let mut host = platform.host("entry-1");
    host.memory_max_mb = Some(64);
    host.body_max_bytes = 4 << 20;
    let daemon = Daemon::new(host).start().await.unwrap();
    platform.wait_ready(&daemon).await;
    let values = "0,".repeat(1 << 20);
    let body = format!("{{\"model\":\"m\",\"values\":[{values}0]}}");
    let answer = platform
        .post(daemon.listen(), "/v1/completions", None, &body)
        .await;
    assert_eq!(answer.code().0, 3008);
    let answer = platform.chat(daemon.listen(), "x len=2", false).await;
    assert_eq!(answer.status, 200);
    daemon.stop().await;
    platform.stop().await;
}

/// Guards against requests for an engine in the pause that it asked for, and against callers that
/// wait for it in vain.
#[ntex::test]
async fn engine_that_asks_for_a_pause_gets_no_further_request() {
    let busy = b"HTTP/1.1 503 Busy\r\nretry-after: 250.5\r\ncontent-length: 0\r\n\r\n";
    let platform = Platform::start(0).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let requests = Arc::<AtomicUsize>::default();
    let counted = requests.clone();
    let (serve, handle) = abortable(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut request = vec![0; 16 * 1024];
            let received = stream.read(&mut request).await.unwrap_or(0);
            // Pages with the load are asked for as well.
            if request[..received].starts_with(b"POST") {
                counted.fetch_add(1, Ordering::Relaxed);
                let _ = stream.write_all(busy).await;
            }
        }
    });
    ntex::rt::spawn(serve);
    let daemon = daemon_with(&platform, &sample_config(2, &[address], &[])).await;
    for _ in 0..3 {
        let answer = platform.chat(daemon.listen(), "hello", false).await;
        assert_eq!(answer.code(), (4001, "no".to_owned()), "{}", answer.body);
    }
    assert_eq!(requests.load(Ordering::Relaxed), 1);
    handle.abort();
    daemon.stop().await;
    platform.stop().await;
}
