//! Crowds of callers of the router's own interface that don't keep to the limits: one daemon process
//! has to live on, stay within its memory and its descriptors, and answer an ordinary request.
//!
//! Each test is one pattern.

mod support;

use std::{net::SocketAddr, time::Duration};

use crowd::{Crowd, Part, Script, Usage};
use serde_json::json;
use support::{Process, config, exchange, head, host_settings, post};
use tokio::{
    io::{AsyncBufReadExt as _, AsyncReadExt as _, AsyncWriteExt as _, BufReader},
    net::{TcpListener, TcpStream},
    task::JoinSet,
    time::sleep,
};

/// Memory of the daemon's host.
const MEMORY_MAX_MB: u64 = 64;

/// Descriptors of the daemon's host.
const DESCRIPTORS_MAX: usize = 256;

/// Callers of a crowd.
const CALLERS: usize = 64;

/// Callers that together take all places of the host for connections.
const ALL: usize = 128;

/// Callers with long answers; together they have half as much again as the memory of the host.
const READERS: usize = 24;

/// Callers that send nothing; more than the descriptors of the host.
const SILENT: usize = 400;

/// Size of a long answer of the plain service.
const ANSWER_BYTES: usize = 4 << 20;

/// Size of the chunks of a long answer without a length.
const CHUNK_BYTES: usize = 16 * 1024;

/// Time for which the daemon is observed after the crowd has arrived.
const OBSERVED: Duration = Duration::from_secs(3);

/// Number of attempts of an ordinary caller, and the pause between them.
const ATTEMPTS_MAX: usize = 150;
const ATTEMPT_PAUSE: Duration = Duration::from_millis(200);

/// Path of chats, and that of calls of the plain service.
const CHATS: &str = "/v1/chat/completions";
const CALLS: &str = "/services/inventory/parts";

/// One daemon with limited memory and descriptors, an engine and a plain service.
struct Site {
    daemon: Process,
    admin: SocketAddr,
    _engine: Process,
    _store: Process,
    _service: JoinSet<()>,
}

impl Site {
    async fn start(name: &str) -> Self {
        let engine = Process::standin("standin-engine", &[]);
        let store = Process::standin("standin-store", &[]);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let service_address = listener.local_addr().unwrap();
        let mut service = JoinSet::new();
        service.spawn(serve(listener));
        let mut settings = host_settings(name, store.address);
        settings["memory_max_mb"] = json!(MEMORY_MAX_MB);
        settings["descriptors_max"] = json!(DESCRIPTORS_MAX);
        settings["workers"] = json!(1);
        let config = config(1, engine.address, service_address).to_string();
        let request = format!(
            "PUT /rows/release/current HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
             if-none-match: *\r\ncontent-length: {}\r\n\r\n{config}",
            config.len()
        );
        let written = exchange(store.address, &request).await;
        assert!(written.is_some_and(|status| status.starts_with('2')));
        let site = Self {
            admin: settings["admin_listen"].as_str().unwrap().parse().unwrap(),
            daemon: Process::daemon(&settings),
            _engine: engine,
            _store: store,
            _service: service,
        };
        site.expect_answers().await;
        site
    }

    /// Checks that an ordinary chat and an ordinary call are answered, and that the host is ready.
    async fn expect_answers(&self) {
        let body = json!({"model": "faucet-vision",
            "messages": [{"role": "user", "content": "the left tap drips len=2"}]});
        self.expect_answer(self.daemon.address, &post(CHATS, &body.to_string()))
            .await;
        self.expect_answer(self.daemon.address, &post(CALLS, "body"))
            .await;
        let ready = "GET /readyz HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
        self.expect_answer(self.admin, ready).await;
    }

    /// Sends a request until it is answered.
    async fn expect_answer(&self, address: SocketAddr, request: &str) {
        let mut last = None;
        for _ in 0..ATTEMPTS_MAX {
            last = exchange(address, request).await;
            if last.as_deref() == Some("200") {
                return;
            }
            sleep(ATTEMPT_PAUSE).await;
        }
        panic!("no answer but {last:?}");
    }

    /// Checks the daemon beside a crowd and after it.
    async fn check(self, address: SocketAddr, script: &Script, callers: usize) {
        let mut usage = Usage::of(self.daemon.id());
        let crowd = Crowd::start(address, script, callers);
        usage.observe(OBSERVED).await;
        self.expect_answers().await;
        usage.sample();
        let (peak_kib, descriptors) = (usage.peak_kib(), usage.descriptors_max());
        println!("peak {peak_kib} KiB, {descriptors} descriptors");
        drop(crowd);
        self.expect_answers().await;
        assert!(peak_kib <= MEMORY_MAX_MB * 1_024, "{peak_kib} KiB");
        assert!(descriptors <= DESCRIPTORS_MAX, "{descriptors} descriptors");
    }
}

/// Serves the calls of the plain service.
async fn serve(listener: TcpListener) {
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        connections.spawn(async move {
            let mut stream = BufReader::new(stream);
            while answer(&mut stream).await.is_ok() {}
        });
    }
}

/// Answers one call: with a long answer if its path asks for it, with or without a length.
async fn answer(stream: &mut BufReader<TcpStream>) -> std::io::Result<()> {
    let (mut path, mut length) = (String::new(), 0);
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).await? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().unwrap_or(0);
        } else if path.is_empty() {
            line.split(' ')
                .nth(1)
                .unwrap_or_default()
                .clone_into(&mut path);
        }
    }
    stream.read_exact(&mut vec![0; length]).await?;
    let bytes = if path.contains("long") {
        ANSWER_BYTES
    } else {
        2
    };
    if path.contains("chunks") {
        stream
            .write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
            .await?;
        let chunk = format!("{CHUNK_BYTES:x}\r\n{}\r\n", "a".repeat(CHUNK_BYTES));
        for _ in 0..bytes.div_ceil(CHUNK_BYTES) {
            stream.write_all(chunk.as_bytes()).await?;
        }
        return stream.write_all(b"0\r\n\r\n").await;
    }
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {bytes}\r\n\r\n");
    stream.write_all(head.as_bytes()).await?;
    stream.write_all("a".repeat(bytes).as_bytes()).await
}

/// Defines a test for each part of a request that goes on without end.
macro_rules! parts {
    ($($name:ident: $path:ident $part:ident;)*) => {
        $(
            #[doc = concat!("Guards against holding `", stringify!($part), "` without end.")]
            #[tokio::test(flavor = "multi_thread")]
            async fn $name() {
                let site = Site::start(concat!("own-", stringify!($name))).await;
                let script = Part::$part.script(&head($path));
                let address = site.daemon.address;
                site.check(address, &script, CALLERS).await;
            }
        )*
    };
}

parts! {
    empty_lines: CHATS EmptyLines;
    method: CHATS Method;
    spaces: CHATS Spaces;
    path: CHATS Path;
    header_name: CHATS HeaderName;
    header_value: CHATS HeaderValue;
    headers: CHATS Headers;
    folded_header: CHATS FoldedHeader;
    chunk_size: CHATS ChunkSize;
    chunk_extension: CHATS ChunkExtension;
    later_chunk_extension: CALLS LaterChunkExtension;
    last_chunk_extension: CALLS LastChunkExtension;
    extended_chunks: CHATS ExtendedChunks;
    small_chunks: CALLS SmallChunks;
    trailers: CHATS Trailers;
    after_body: CHATS AfterBody;
    requests: CALLS Requests;
    expected_body: CHATS ExpectedBody;
    body: CALLS Body;
    upgrade: CHATS Upgrade;
    tunnel: CHATS Tunnel;
    garbage: CHATS Garbage;
}

/// Guards against heads of many headers, each of which takes far more than its bytes, from as many
/// callers as the host has places.
#[tokio::test(flavor = "multi_thread")]
async fn headers_on_all_connections() {
    let site = Site::start("own-all-headers").await;
    let script = Part::Headers.script(&head(CHATS));
    let address = site.daemon.address;
    site.check(address, &script, ALL).await;
}

/// Guards against bodies in chunks of one byte, each of which takes far more than its byte, from as
/// many callers as the host has places.
#[tokio::test(flavor = "multi_thread")]
async fn small_chunks_on_all_connections() {
    let site = Site::start("own-all-chunks").await;
    let script = Part::SmallChunks.script(&head(CALLS));
    let address = site.daemon.address;
    site.check(address, &script, ALL).await;
}

/// Returns the script of a caller that reads an answer of the plain service at 10 KB/s.
fn slow_reader(path: &str) -> Script {
    let request = format!("{}content-length: 1\r\n\r\nb", head(path));
    Script::new(request).with_reads(1_024, Duration::from_millis(100))
}

/// Guards against holding long answers with a length that are read slowly.
#[tokio::test(flavor = "multi_thread")]
async fn long_answers_that_are_read_slowly() {
    let site = Site::start("own-long").await;
    let script = slow_reader("/services/inventory/long");
    let address = site.daemon.address;
    site.check(address, &script, READERS).await;
}

/// Guards against holding long answers in chunks that are read slowly.
#[tokio::test(flavor = "multi_thread")]
async fn long_answers_in_chunks_that_are_read_slowly() {
    let site = Site::start("own-chunks").await;
    let script = slow_reader("/services/inventory/long-chunks");
    let address = site.daemon.address;
    site.check(address, &script, READERS).await;
}

/// Guards against holding bodies that stop one byte short.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_that_stop_short() {
    let site = Site::start("own-short").await;
    let request = format!("{}content-length: {ANSWER_BYTES}\r\n\r\n", head(CALLS));
    let script = Script::new(request + &"b".repeat(ANSWER_BYTES - 1));
    let address = site.daemon.address;
    site.check(address, &script, READERS).await;
}

/// Guards against silent connections that use up the descriptors.
#[tokio::test(flavor = "multi_thread")]
async fn silent_connections() {
    let site = Site::start("own-silent").await;
    let address = site.daemon.address;
    site.check(address, &Script::new(""), SILENT).await;
}
