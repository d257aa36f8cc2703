//! Fixture for routed requests: a daemon with a platform adapter for tests, and scripted upstreams.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use daemon::{
    Daemon, PlatformAdapter, RunningDaemon,
    adapter::{
        AttemptInfo, ConfigRead, HeaderAdapter, ListedHost, MalformedHeader, RequestMetadata,
        ResponseKind, StoreAdapter, UpstreamNotice, UpstreamRead, UpstreamRow,
    },
};
use futures::future::LocalBoxFuture;
use link::{HeaderMap, StatusCode};
use sched::PromptPart;
use settings::{
    Account, Config, Honours, Host, RequestKind, Route, Share, Upstream, UpstreamKind,
    UpstreamLifecycle, hash_api_key,
};
use standin::sample_host;
use store::{MemoryTable, StoreError, StoreVersion};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

/// API key of the client account.
pub const KEY: &str = "key-a";

/// Time after which a test that waits for a response fails.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);

/// Header adapter with its own header names.
struct TestHeaders;

impl HeaderAdapter for TestHeaders {
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

    fn parse_notice(&self, _: StatusCode, headers: &HeaderMap) -> UpstreamNotice {
        let notice = UpstreamNotice {
            leaving: headers.contains_key("x-leaving"),
            ..UpstreamNotice::default()
        };
        match headers.get("x-pause") {
            Some(pause) => notice.with_pause(pause.to_str().unwrap()),
            None => notice,
        }
    }
}

/// Rows of the store, which tests set.
#[derive(Debug, Default)]
pub struct Rows {
    pub config: Option<Config>,
    pub upstreams: Vec<Upstream>,
    /// Other daemons that are listed.
    pub daemons: Vec<ListedHost>,
    /// Whether reads of the upstreams fail.
    pub is_unreachable: bool,
    /// Whether the store holds back its answer while the upstreams don't change.
    pub holds_back: bool,
}

/// Store adapter that returns the rows that a test sets, as a store whose version is that of the
/// configuration.
struct TestStore {
    rows: Arc<Mutex<Rows>>,
}

impl StoreAdapter for TestStore {
    fn config(
        &self,
        after: Option<StoreVersion>,
        _: Duration,
    ) -> LocalBoxFuture<'_, Result<ConfigRead, StoreError>> {
        Box::pin(async move {
            sleep(Duration::from_millis(5)).await;
            let config = self.rows.lock().unwrap().config.clone();
            let known = after.unwrap_or_default().number;
            let newer = config.filter(|config| config.version != known);
            let number = newer.as_ref().map_or(known, |config| config.version);
            Ok(ConfigRead {
                store_version: StoreVersion::new(0, number),
                is_whole: after.is_none(),
                config: newer,
            })
        })
    }

    fn upstreams(
        &self,
        after: Option<StoreVersion>,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<UpstreamRead, StoreError>> {
        Box::pin(async move {
            let holds_back = self.rows.lock().unwrap().holds_back;
            let pause = if holds_back {
                wait
            } else {
                wait.min(Duration::from_millis(5))
            };
            sleep(pause).await;
            let store_version = StoreVersion::new(0, after.unwrap_or_default().number + 1);
            let rows = self.rows.lock().unwrap();
            if rows.is_unreachable {
                return Err(StoreError::Down);
            }
            let upstreams = rows.upstreams.clone();
            let rows = upstreams.into_iter().map(|upstream| UpstreamRow {
                name: upstream.name.clone(),
                store_version,
                upstream: Some(upstream),
            });
            Ok(UpstreamRead {
                store_version,
                is_whole: true,
                rows: rows.collect(),
            })
        })
    }

    fn daemons<'a>(
        &'a self,
        _: &'a str,
    ) -> LocalBoxFuture<'a, Result<Vec<ListedHost>, StoreError>> {
        Box::pin(async { Ok(self.rows.lock().unwrap().daemons.clone()) })
    }

    fn register<'a>(&'a self, _: &'a ListedHost) -> LocalBoxFuture<'a, Result<(), StoreError>> {
        Box::pin(async { Ok(()) })
    }
}

/// Step of an upstream's response.
#[derive(Debug, Clone, Copy)]
pub enum Step {
    /// Sends bytes.
    Send(&'static str),
    /// Waits, unless the daemon closes the connection.
    Wait(Duration),
    /// Closes the connection.
    Close,
}

/// Upstream that responds to each request by the next script; the last script is repeated.
pub struct ScriptedUpstream {
    pub address: SocketAddr,
    /// Heads of the requests that arrived, in order.
    pub heads: Arc<Mutex<Vec<String>>>,
    /// Number of connections that the daemon closed before the response was complete.
    pub aborted: Arc<Mutex<u32>>,
}

impl ScriptedUpstream {
    pub async fn start(scripts: &'static [&'static [Step]]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (heads, aborted) = (Arc::<Mutex<Vec<String>>>::default(), Arc::default());
        let upstream = Self {
            address,
            heads: heads.clone(),
            aborted: Arc::clone(&aborted),
        };
        ntex::rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                ntex::rt::spawn(respond(stream, scripts, heads.clone(), aborted.clone()));
            }
        });
        upstream
    }

    pub fn request_count(&self) -> usize {
        self.heads.lock().unwrap().len()
    }
}

/// Responds to the requests of one connection.
async fn respond(
    mut stream: TcpStream,
    scripts: &'static [&'static [Step]],
    heads: Arc<Mutex<Vec<String>>>,
    aborted: Arc<Mutex<u32>>,
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
                        *aborted.lock().unwrap() += 1;
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

/// Daemon under test with the rows of its store.
pub struct Fixture {
    pub rows: Arc<Mutex<Rows>>,
    pub daemon: RunningDaemon,
}

impl Fixture {
    /// Starts a daemon with one route of the given kind and these upstreams.
    pub async fn start(
        kind: RequestKind,
        timeout_ms: u64,
        upstreams: &[&ScriptedUpstream],
    ) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Self::start_host(sample_host("entry-1", any), kind, timeout_ms, upstreams).await
    }

    /// Does the same with other settings of the host.
    pub async fn start_host(
        host: Host,
        kind: RequestKind,
        timeout_ms: u64,
        upstreams: &[&ScriptedUpstream],
    ) -> Self {
        Self::start_with_daemons(host, kind, timeout_ms, upstreams, Vec::new()).await
    }

    /// Does the same with other daemons in the store.
    pub async fn start_with_daemons(
        mut host: Host,
        kind: RequestKind,
        timeout_ms: u64,
        upstreams: &[&ScriptedUpstream],
        daemons: Vec<ListedHost>,
    ) -> Self {
        host.workers = 1;
        let rows = Arc::new(Mutex::new(Rows {
            daemons,
            config: Some(config(1, kind, timeout_ms)),
            upstreams: upstreams
                .iter()
                .zip(1..)
                .map(|(u, n)| upstream(n, u))
                .collect(),
            ..Rows::default()
        }));
        let store_rows = rows.clone();
        let platform = PlatformAdapter {
            headers: Arc::new(TestHeaders),
            connect_store: Box::new(move || {
                Box::new(TestStore {
                    rows: store_rows.clone(),
                })
            }),
            connect_table: Box::new(|| Box::new(MemoryTable::default())),
            connect_cloud: None,
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

    /// Waits until the daemon has at least this version in force.
    pub async fn wait_for_version(&self, version: u64) {
        for _ in 0..2_000 {
            if self.daemon.config_version() >= version && self.daemon.is_ready() {
                return;
            }
            sleep(Duration::from_millis(5)).await;
        }
        panic!("version {version} is not in force");
    }

    /// Sends a request and returns everything that the daemon sends until the connection is closed.
    pub async fn call(&self, path: &str, headers: &str) -> String {
        let mut stream = self.send(path, headers).await;
        let mut response = Vec::new();
        // A reset after the response is as good as a normal close here.
        let _ = timeout(RESPONSE_TIMEOUT, stream.read_to_end(&mut response))
            .await
            .unwrap();
        String::from_utf8_lossy(&response).into_owned()
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

/// Returns the row of an upstream.
pub fn upstream(number: usize, scripted: &ScriptedUpstream) -> Upstream {
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
        reclaimable: false,
    }
}
