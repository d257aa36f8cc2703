//! Stand-ins and checks for the scripts of the second review: one daemon or more, started as the
//! deploy file says, on loopback addresses of their own, with the project's stand-in of the store.

use std::{
    env, fs,
    io::Write as _,
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::Stdio,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub use emulator::http;
use emulator::{RowKey, Store, StoreSpec};
use eyre::{Result, ensure, eyre};
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _, BufReader},
    net::{TcpSocket, TcpStream},
    process::{Child, Command},
    signal::unix::{SignalKind, signal},
    time::{sleep, timeout},
};

/// Host name of all routes.
pub const HOST: &str = "desk.example";

/// Longest time of a case.
const TIME_MAX: Duration = Duration::from_secs(110);

/// API key of the only tenant.
pub const API_KEY: &str = "key-of-the-desk";

/// Whether the disruption of the case is brought about.
#[must_use]
pub fn has_trouble() -> bool {
    env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// What was sent, answered and run, with the time since the start in milliseconds.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<fs::File>>,
    began: Instant,
}

impl Record {
    /// Creates the record in the folder that `CASE_DIR` names.
    pub fn create() -> Result<Self> {
        let folder = env::var("CASE_DIR").map_or_else(|_| PathBuf::from("."), PathBuf::from);
        let file = fs::File::create(folder.join("record.txt"))?;
        Ok(Self {
            file: Arc::new(Mutex::new(file)),
            began: Instant::now(),
        })
    }

    /// Adds a line to the record and to standard output.
    pub fn line(&self, text: &str) {
        let at_ms = self.began.elapsed().as_millis();
        let line = format!("{at_ms:>7} {text}\n");
        print!("{line}");
        if let Ok(mut file) = self.file.lock() {
            let _ = file.write_all(line.as_bytes());
        }
    }
}

/// Settings that differ between cases.
#[derive(Clone, Copy)]
pub struct Limits {
    pub memory_mb: u64,
    pub descriptors: u64,
    pub drain_ms: u64,
    pub config_apply_ms: u64,
    pub grace_s: u64,
}

/// A daemon as a process.
pub struct Daemon {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    child: Child,
    log: PathBuf,
    settings: PathBuf,
    limits: Limits,
}

impl Daemon {
    /// Returns the process id.
    pub fn id(&self) -> Result<u32> {
        self.child.id().ok_or_else(|| eyre!("daemon has ended"))
    }

    /// Returns the exit status if it has ended.
    pub fn ended(&mut self) -> Result<Option<String>> {
        Ok(self.child.try_wait()?.map(|status| status.to_string()))
    }

    /// Starts it again after its end.
    pub fn restart(&mut self) -> Result<()> {
        self.child = spawn(&self.settings, &self.limits, &self.log)?;
        Ok(())
    }

    /// Kills it and waits.
    pub async fn kill(&mut self) {
        let _ = self.child.start_kill();
        let _ = self.child.wait().await;
    }

    /// Waits until it says that it is ready.
    pub async fn wait_ready(&self) -> Result<()> {
        for _ in 0..100 {
            if let Ok(mut stream) = TcpStream::connect(self.ready).await {
                let request = "GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
                let mut text = String::new();
                if stream.write_all(request.as_bytes()).await.is_ok()
                    && timeout(Duration::from_secs(1), stream.read_to_string(&mut text))
                        .await
                        .is_ok()
                    && text.starts_with("HTTP/1.1 200")
                {
                    return Ok(());
                }
            }
            sleep(Duration::from_millis(100)).await;
        }
        Err(eyre!("daemon isn't ready after 10 s"))
    }
}

/// Platform with its store, and the temporary folder.
pub struct Site {
    store: Store,
    folder: PathBuf,
    limits: Limits,
    base: [u8; 2],
    /// Ports of all daemons for callers, for the question whether they are ready, and for peers.
    ports: [u16; 3],
    version: AtomicU64,
    row_sequence: AtomicU64,
    daemons: u8,
}

impl Site {
    /// Starts a store and writes nothing.
    pub async fn start(limits: Limits) -> Result<Self> {
        let store = Store::start(StoreSpec::default()).await?;
        let folder = env::temp_dir().join(format!("fireflylever-review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let base = [rand::random_range(20..250), rand::random_range(1..250)];
        let ports = free_ports(Ipv4Addr::new(127, base[0], base[1], 1))?;
        Ok(Self {
            store,
            folder,
            limits,
            base,
            ports,
            version: AtomicU64::new(10),
            row_sequence: AtomicU64::new(1),
            daemons: 0,
        })
    }

    /// Returns a loopback address of this run.
    #[must_use]
    pub fn ip(&self, last: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.base[0], self.base[1], last)
    }

    /// Starts a daemon with the command of the deploy file and its template of settings.
    pub async fn start_daemon(&mut self) -> Result<Daemon> {
        self.daemons += 1;
        let number = self.daemons;
        let ip = self.ip(number);
        let (front, ready) = ((ip, self.ports[0]).into(), (ip, self.ports[1]).into());
        let template = fs::read_to_string("platform/host.jsonc.template")?;
        let settings = fill(
            &template,
            &self.limits,
            number,
            ip,
            self.ports,
            self.store.address,
        )?;
        let path = self.folder.join(format!("edge-{number}.jsonc"));
        fs::write(&path, settings)?;
        let log_path = self.folder.join(format!("edge-{number}.log"));
        let child = spawn(&path, &self.limits, &log_path)?;
        Ok(Daemon {
            front,
            ready,
            child,
            log: log_path,
            settings: path,
            limits: self.limits,
        })
    }

    /// Writes a version of the configuration with these routes and services.
    pub fn configure(&self, routes: &[Value], services: &[Value]) {
        let version = self.version.fetch_add(3, Ordering::Relaxed);
        let config = json!({
            "version": version,
            "routes": routes,
            "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 8_000_000,
                "header_timeout_ms": 10_000, "idle_timeout_ms": 60_000},
            "tenants": [{"name": "desk", "api_keys": [API_KEY]}],
        });
        self.store.put(&RowKey::new("op", "config"), &config);
    }

    /// Writes the entry of a server, as the server itself would.
    pub fn register(
        &self,
        id: &str,
        service: &str,
        address: SocketAddr,
        slots: u32,
        state: &str,
        born: u64,
    ) {
        let sequence = self.row_sequence.fetch_add(1, Ordering::Relaxed);
        let row = json!({
            "service": service, "address": address, "zone": "recife-a", "version": 1,
            "slots": slots, "state": state, "cold_remaining_ms": 0, "sequence": sequence,
            "born": born,
        });
        self.store.put(&RowKey::new("servers", id), &row);
    }
}

impl Site {
    /// Removes the entry of a server that has left.
    pub fn remove(&self, id: &str) {
        self.store.remove(&RowKey::new("servers", id));
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Starts a daemon as the deploy file says.
fn spawn(settings: &Path, limits: &Limits, log: &Path) -> Result<Child> {
    let log = fs::File::options().create(true).append(true).open(log)?;
    let child = Command::new("target/release/fireflylever-edge")
        .env("FIREFLYLEVER_SETTINGS", settings)
        .env("FIREFLYLEVER_MEMORY_MAX_MB", limits.memory_mb.to_string())
        .env(
            "FIREFLYLEVER_DESCRIPTORS_MAX",
            limits.descriptors.to_string(),
        )
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .kill_on_drop(true)
        .spawn()?;
    Ok(child)
}

/// Returns a route of the configuration.
#[must_use]
pub fn route(name: &str, kind: &str, service: &str, timeout_ms: u64, attempts: u32) -> Value {
    json!({
        "name": name, "host": HOST, "prefix": format!("/{name}/"), "kind": kind,
        "timeout_ms": timeout_ms, "target_latency_ms": 400, "gap_aim_ms": 400, "priority": 0,
        "service": service, "max_attempts": attempts, "stream_resume": false,
        "session_affinity": false,
    })
}

/// Unix time in milliseconds.
#[must_use]
pub fn unix_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(0)
}

/// Opens a connection.
pub async fn connect(address: SocketAddr) -> Result<TcpStream> {
    Ok(timeout(Duration::from_secs(1), TcpStream::connect(address)).await??)
}

/// Opens a connection whose segments have the size that they have on Ethernet: on the loopback
/// interface they are 64 KB, and the system buffers megabytes for a connection.
pub async fn connect_as_over_ethernet(address: SocketAddr) -> Result<TcpStream> {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
    socket.set_tcp_mss(1448)?;
    socket.set_recv_buffer_size(64 * 1024)?;
    socket.set_nonblocking(true)?;
    let socket = TcpSocket::from_std_stream(socket.into());
    Ok(timeout(Duration::from_secs(1), socket.connect(address)).await??)
}

/// Opens a connection with buffered reads.
pub async fn open(address: SocketAddr) -> Result<BufReader<TcpStream>> {
    Ok(BufReader::new(connect(address).await?))
}

/// Returns the head of a request.
#[must_use]
pub fn head(method: &str, path: &str, id: &str, deadline_ms: u64, further: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\n\
         Deadline-Ms: {deadline_ms}\r\nApi-Key: {API_KEY}\r\n{further}\r\n"
    )
}

/// Returns three ports that are free at an address. They are below those that the system assigns to
/// outgoing connections.
fn free_ports(ip: Ipv4Addr) -> Result<[u16; 3]> {
    let mut bound = Vec::new();
    for _ in 0..1_000 {
        let port = rand::random_range(12_000..32_000);
        bound.extend(std::net::TcpListener::bind((ip, port)));
        if let [first, second, third] = &bound[..] {
            let port = |listener: &std::net::TcpListener| listener.local_addr().map(|at| at.port());
            return Ok([port(first)?, port(second)?, port(third)?]);
        }
    }
    Err(eyre!("no free ports"))
}

fn fill(
    template: &str,
    limits: &Limits,
    number: u8,
    ip: Ipv4Addr,
    ports: [u16; 3],
    store: SocketAddr,
) -> Result<String> {
    let cut = |text: &str, begin: &str, end: &str, by: &str| -> Result<String> {
        let first = text.find(begin).ok_or_else(|| eyre!("no {begin}"))?;
        let last = text.find(end).ok_or_else(|| eyre!("no {end}"))? + end.len();
        Ok(format!("{}{by}{}", &text[..first], &text[last..]))
    };
    // No duties on this site.
    let text = cut(template, "{{#cloud.duties.0}}", "{{/cloud.duties.0}}", "")?;
    let zones = r#"{"zone": "recife-a", "region": "pernambuco"}"#;
    let text = cut(&text, "{{#zones}}", "{{/zones}}", zones)?;
    let values = [
        ("{{node_name|json}}", format!("\"edge-recife-a-{number}\"")),
        ("{{region|json}}", "\"pernambuco\"".to_owned()),
        ("{{zone|json}}", "\"recife-a\"".to_owned()),
        ("{{listen.front|json}}", format!("\"{ip}:{}\"", ports[0])),
        ("{{listen.ready|json}}", format!("\"{ip}:{}\"", ports[1])),
        ("{{ip}}", ip.to_string()),
        ("{{port_range.0}}", ports[2].to_string()),
        ("{{platform.address|json}}", format!("\"{store}\"")),
        ("{{bounds.drain_ms}}", limits.drain_ms.to_string()),
        (
            "{{bounds.config_apply_ms}}",
            limits.config_apply_ms.to_string(),
        ),
        ("{{bounds.grace_s}}", limits.grace_s.to_string()),
    ];
    let filled = values
        .iter()
        .fold(text, |text, (name, value)| text.replace(name, value));
    ensure!(!filled.contains("{{"), "placeholder left: {filled}");
    Ok(filled)
}

/// Runs a case and ends the script with its status: 1 if the rule was broken, 0 if it held, 2 if the
/// case couldn't run. A case that is interrupted or takes too long ends its processes too.
pub async fn main_with<F>(case: F)
where
    F: Future<Output = Result<bool>>,
{
    let outcome = async {
        let mut terminate = signal(SignalKind::terminate())?;
        tokio::select! {
            outcome = case => outcome,
            () = sleep(TIME_MAX) => Err(eyre!("it takes more than {} s", TIME_MAX.as_secs())),
            _ = terminate.recv() => Err(eyre!("interrupted")),
            interrupted = tokio::signal::ctrl_c() => Err(eyre!("interrupted: {interrupted:?}")),
        }
    };
    let status = match outcome.await {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(error) => {
            eprintln!("the case couldn't run: {error:?}");
            2
        }
    };
    std::process::exit(status);
}
