//! Planned stops of a daemon that serves model requests and plain services.

mod support;

use std::{net::SocketAddr, time::Duration};

use daemon::Daemon;
use futures::future::{AbortHandle, abortable, join, join_all};
use standin::{SAMPLE_KEY, sample_config};
use support::{Platform, chat_body, wait};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    time::{Instant, sleep},
};

/// Starts an upstream that accepts connections and never responds.
async fn silent_upstream() -> (SocketAddr, AbortHandle) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (serve, handle) = abortable(async move {
        let mut accepted = Vec::new();
        loop {
            accepted.push(listener.accept().await.unwrap());
        }
    });
    ntex::rt::spawn(serve);
    (address, handle)
}

/// Guards against model requests and calls of plain services that are cut off without an answer when
/// a stop is out of time.
#[ntex::test]
async fn requests_that_a_stop_cannot_finish_are_answered() {
    let platform = Platform::start(0).await;
    let (address, handle) = silent_upstream().await;
    let config = sample_config(2, &[address], &[address]);
    platform.put_next(&config).await;
    let mut host = platform.host("entry-1");
    host.drain_max_ms = 500;
    let daemon = Daemon::new(host).start().await.unwrap();
    platform.wait_ready(&daemon).await;
    let slots = config
        .upstreams
        .iter()
        .find(|upstream| upstream.service.is_empty());
    let slots = usize::try_from(slots.unwrap().slots).unwrap();
    let (listen, admin) = (daemon.listen(), daemon.admin_listen());
    let chats = (0..slots + 3).map(|number| platform.chat(listen, "question", number % 2 == 0));
    let path = "/services/inventory/reservations";
    let orders = ["r-1", "r-2"];
    let orders = orders.map(|key| platform.post(listen, path, Some(key), "{}"));
    let stop = async {
        let status_url = format!("http://{admin}/admin/status");
        wait(async || {
            let status = platform.client.get(&status_url).send().await;
            let body = status.unwrap().body().await.unwrap();
            let status: serde_json::Value = serde_json::from_slice(&body).unwrap();
            status["in_flight"] == slots + 3 + 2
        })
        .await;
        // The requests have to be on their way to the upstream.
        sleep(Duration::from_millis(100)).await;
        daemon.stop().await;
    };
    let (chats, (orders, ())) = join(join_all(chats), join(join_all(orders), stop)).await;
    let mut codes: Vec<_> = chats.iter().map(support::Answer::code).collect();
    codes.sort();
    let refused = vec![(3004, "no".to_owned()); 3];
    let cut = vec![(4007, "unknown".to_owned()); slots];
    assert_eq!(codes, [refused, cut].concat());
    for order in orders {
        let (code, run) = order.code();
        assert_eq!((order.status, &*run), (409, "unknown"), "{code}");
    }
    handle.abort();
    platform.stop().await;
}

/// Guards against a daemon that ends while a model request or a call of a plain service is still
/// being received, and cuts it off.
#[ntex::test]
async fn requests_that_are_being_received_are_answered() {
    let platform = Platform::start(1).await;
    let chat = chat_body("question len=3", false).to_string();
    for (path, body) in [
        ("/v1/chat/completions", &*chat),
        ("/services/inventory/reservations", "{}"),
    ] {
        let daemon = platform.daemon("entry-1").await;
        let mut stream = TcpStream::connect(daemon.listen()).await.unwrap();
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {SAMPLE_KEY}\r\nidempotency-key: r-1\r\ncontent-length: {}\r\nconnection: close\r\n\r\n",
            body.len()
        );
        stream.write_all(head.as_bytes()).await.unwrap();
        sleep(Duration::from_millis(50)).await;
        let stop = async {
            daemon.stop().await;
            Instant::now()
        };
        let answer = async {
            sleep(Duration::from_millis(800)).await;
            // A daemon that has ended refuses the rest.
            let _ = stream.write_all(body.as_bytes()).await;
            let mut answer = String::new();
            let _ = stream.read_to_string(&mut answer).await;
            (answer, Instant::now())
        };
        let (stopped_at, (answer, answered_at)) = join(stop, answer).await;
        let status = answer.split(' ').nth(1);
        assert!(matches!(status, Some("200" | "201")), "{path}: {answer:?}");
        // The process ends then.
        assert!(answered_at <= stopped_at, "{path}");
    }
    platform.stop().await;
}
