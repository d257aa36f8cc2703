//! Daemon with routed requests, a dialect and a directory of its own, and scripted upstreams.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use daemon::{
    Daemon, PlatformAdapter, RunningDaemon,
    adapter::{
        AttemptInfo, HeaderAdapter, MalformedHeader, RequestMetadata, ResponseKind, StoreAdapter,
    },
};
use futures::future::{LocalBoxFuture, pending};
use link::{HeaderMap, StatusCode};
use sched::PromptPart;
use settings::{
    Account, Config, Honours, RequestKind, Route, Share, Upstream, UpstreamKind, UpstreamLifecycle,
    hash_api_key,
};
use standin::sample_host;
use store::{HostEntry, StoreError};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

/// API key of the client account.
pub const KEY: &str = "key-a";

/// Time after which a test that waits for an answer fails.
const ANSWER_MAX: Duration = Duration::from_secs(20);

/// Header adapter with its own header names.
struct Plain;

impl HeaderAdapter for Plain {
    fn parse_request(&self, headers: &HeaderMap) -> Result<RequestMetadata, MalformedHeader> {
        let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
        let id = text("x-id").ok_or_else(|| MalformedHeader("x-id".to_owned()))?;
        let part = PromptPart { id: 1, tokens: 100 };
        let prompt = text("x-prompt").map_or_else(Vec::new, |_| vec![part]);
        let wait = text("x-wait-ms").and_then(|wait| wait.parse().ok());
        Ok(RequestMetadata {
            request_id: id.to_owned(),
            api_key: text("x-key").map(str::to_owned),
            deadline: wait.map(Duration::from_millis),
            prompt: prompt.into(),
            output_tokens_max: 0,
        })
    }

    fn rewrite_request(&self, headers: &mut HeaderMap, attempt: &AttemptInfo<'_>) {
        headers.remove("x-key");
        headers.insert("x-to", attempt.upstream.parse().unwrap());
        if let Some(rank) = attempt.rank {
            headers.insert("x-rank", rank.to_string().parse().unwrap());
        }
        if let Some(event) = attempt.resume_after {
            headers.insert("x-after", event.parse().unwrap());
        }
    }

    fn classify_response(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        request_id: &str,
    ) -> ResponseKind {
        if headers.contains_key("x-not-run") {
            return ResponseKind::NotRun;
        }
        let id = headers.get("x-id");
        if id.is_some_and(|id| id != request_id) && status.is_success() {
            return ResponseKind::OtherRequest;
        }
        ResponseKind::Run
    }
}

/// What the directory says.
#[derive(Debug, Default)]
pub struct Rows {
    pub config: Option<Config>,
    pub upstreams: Vec<Upstream>,
}

/// Store adapter that returns the rows that a test sets.
struct Shelf {
    rows: Arc<Mutex<Rows>>,
    seen: u64,
}

impl StoreAdapter for Shelf {
    fn config(&mut self) -> LocalBoxFuture<'_, Result<Option<Config>, StoreError>> {
        Box::pin(async {
            sleep(Duration::from_millis(5)).await;
            let config = self.rows.lock().unwrap().config.clone();
            let newer = config.filter(|config| config.version != self.seen);
            self.seen = newer.as_ref().map_or(self.seen, |config| config.version);
            Ok(newer)
        })
    }

    fn upstreams(&self) -> LocalBoxFuture<'_, Result<Vec<Upstream>, StoreError>> {
        Box::pin(async { Ok(self.rows.lock().unwrap().upstreams.clone()) })
    }

    fn daemons(&self) -> LocalBoxFuture<'_, Result<Vec<HostEntry>, StoreError>> {
        Box::pin(pending())
    }

    fn register<'a>(
        &'a self,
        _: &'a str,
        _: SocketAddr,
    ) -> LocalBoxFuture<'a, Result<(), StoreError>> {
        Box::pin(async { Ok(()) })
    }
}

/// Step of an upstream's answer.
#[derive(Debug, Clone, Copy)]
pub enum Step {
    /// Sends bytes.
    Send(&'static str),
    /// Waits.
    Wait(Duration),
    /// Closes the connection.
    Close,
}

/// Upstream that answers its requests by scripts, the last of which is used again.
pub struct Scripted {
    pub address: SocketAddr,
    /// Heads of the requests that arrived.
    pub heads: Arc<Mutex<Vec<String>>>,
    /// Connections that the daemon closed while an answer was due.
    pub left: Arc<Mutex<u32>>,
}

impl Scripted {
    pub async fn start(scripts: &'static [&'static [Step]]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (heads, left) = (Arc::<Mutex<Vec<String>>>::default(), Arc::default());
        let upstream = Self {
            address,
            heads: heads.clone(),
            left: Arc::clone(&left),
        };
        ntex::rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                ntex::rt::spawn(answer(stream, scripts, heads.clone(), left.clone()));
            }
        });
        upstream
    }

    pub fn seen(&self) -> usize {
        self.heads.lock().unwrap().len()
    }
}

async fn answer(
    mut stream: TcpStream,
    scripts: &'static [&'static [Step]],
    heads: Arc<Mutex<Vec<String>>>,
    left: Arc<Mutex<u32>>,
) {
    while let Some(head) = read_head(&mut stream).await {
        let index = {
            let mut heads = heads.lock().unwrap();
            heads.push(head);
            heads.len() - 1
        };
        for step in scripts[index.min(scripts.len() - 1)] {
            match step {
                Step::Send(bytes) => {
                    if stream.write_all(bytes.as_bytes()).await.is_err() {
                        return;
                    }
                }
                Step::Wait(pause) => {
                    let mut byte = [0];
                    if let Ok(Ok(0) | Err(_)) = timeout(*pause, stream.read(&mut byte)).await {
                        *left.lock().unwrap() += 1;
                        return;
                    }
                }
                Step::Close => return,
            }
        }
    }
}

async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    Some(String::from_utf8_lossy(&head).into_owned())
}

/// Daemon under test.
pub struct Fixture {
    pub rows: Arc<Mutex<Rows>>,
    pub daemon: RunningDaemon,
}

impl Fixture {
    /// Starts a daemon with one route of a kind to these upstreams.
    pub async fn start(kind: RequestKind, timeout_ms: u64, upstreams: &[&Scripted]) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut host = sample_host("entry-1", any);
        host.workers = 1;
        let rows = Arc::new(Mutex::new(Rows {
            config: Some(config(1, kind, timeout_ms)),
            upstreams: upstreams
                .iter()
                .zip(1..)
                .map(|(u, n)| upstream(n, u))
                .collect(),
        }));
        let shelf = rows.clone();
        let platform = PlatformAdapter {
            headers: Arc::new(Plain),
            connect_store: Box::new(move || {
                Box::new(Shelf {
                    rows: shelf.clone(),
                    seen: 0,
                })
            }),
        };
        let daemon = Daemon::new(host)
            .with_platform(platform)
            .start()
            .await
            .unwrap();
        let fixture = Self { rows, daemon };
        fixture.wait_for_version(1).await;
        fixture
    }

    /// Waits until the daemon has a version in force.
    pub async fn wait_for_version(&self, version: u64) {
        for _ in 0..2_000 {
            if self.daemon.config_version() >= version && self.daemon.is_ready() {
                return;
            }
            sleep(Duration::from_millis(5)).await;
        }
        panic!("version {version} is not in force");
    }

    /// Sends a request and returns all that the daemon answers until it closes the connection.
    pub async fn call(&self, path: &str, headers: &str) -> String {
        let mut stream = self.send(path, headers).await;
        let mut answer = Vec::new();
        // A reset after the answer is as good as a close here.
        let _ = timeout(ANSWER_MAX, stream.read_to_end(&mut answer))
            .await
            .unwrap();
        String::from_utf8_lossy(&answer).into_owned()
    }

    /// Sends a request and returns its connection.
    pub async fn send(&self, path: &str, headers: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.daemon.listen()).await.unwrap();
        let request = format!(
            "GET {path} HTTP/1.1\r\nhost: shop.example\r\nx-id: r1\r\nconnection: close\r\n{headers}\r\n"
        );
        stream.write_all(request.as_bytes()).await.unwrap();
        stream
    }
}

/// Returns a configuration with one route.
pub fn config(version: u64, kind: RequestKind, timeout_ms: u64) -> Config {
    let mut config = Config {
        version,
        accounts: vec![Account {
            name: "member-a".to_owned(),
            key_sha256: vec![hash_api_key(KEY)],
            default_class: String::new(),
            classes: Vec::new(),
            requests_per_s: u32::MAX,
            requests_in_flight: u32::MAX,
            tokens_in_flight: u64::MAX,
            weight: 1,
            tier: None,
        }],
        routes: vec![Route {
            name: "stock".to_owned(),
            host: "shop.example".to_owned(),
            path_prefix: "/stock/".to_owned(),
            kind,
            timeout_ms,
            target_ms: 200,
            event_gap_ms: 0,
            tier: 0,
            attempts_max: 2,
            public: false,
            shares: vec![Share {
                service: "parts".to_owned(),
                weight: 1,
            }],
        }],
        ..Config::default()
    };
    config.sort();
    config
}

fn upstream(number: usize, scripted: &Scripted) -> Upstream {
    Upstream {
        name: format!("parts-{number}"),
        kind: UpstreamKind::Service,
        address: scripted.address,
        region: String::new(),
        zone: "costa-norte".to_owned(),
        models: Vec::new(),
        service: "parts".to_owned(),
        slots: 8,
        honours: Honours {
            priority: true,
            resume: true,
            fencing: false,
        },
        state: UpstreamLifecycle::Live,
        engine: None,
        started_ms: None,
    }
}
