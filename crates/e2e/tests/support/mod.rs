//! Processes of a test, started on free ports and killed at its end.

// Each test program uses only a part of this module.
#![allow(dead_code)]

use std::{
    fs,
    io::{BufRead as _, BufReader},
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, ExitStatus, Stdio},
    time::Duration,
};

use ntex::{
    SharedCfg,
    client::{Client, Connector},
    time::Millis,
};
use serde_json::{Value, json};
use settings::hash_api_key;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    time::timeout,
};

/// API key of the only client account.
pub const KEY: &str = "test-key";

/// Time limit of an exchange.
const ANSWER_LIMIT: Duration = Duration::from_secs(15);

/// Maximum number of polls, 20 ms apart, for a state that is reached at once on an idle machine.
const POLLS_MAX: usize = 1_000;

/// Process that is killed when dropped.
pub struct Process {
    child: Child,
    pub address: SocketAddr,
}

impl Process {
    /// Starts a stand-in, whose first line of output is its address.
    pub fn standin(name: &str, args: &[&str]) -> Self {
        let mut child = Command::new(program(name))
            .args(args)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap_or_else(|error| panic!("{name}: {error}"));
        let mut line = String::new();
        let stdout = child.stdout.take().expect("stdout is piped");
        BufReader::new(stdout)
            .read_line(&mut line)
            .expect("first line");
        let address = line
            .trim()
            .parse()
            .unwrap_or_else(|_| panic!("{name}: {line}"));
        Self { child, address }
    }

    /// Starts a daemon with these settings.
    pub fn daemon(settings: &Value) -> Self {
        let name = settings["name"].as_str().expect("name");
        let path = std::env::temp_dir().join(format!("{name}-{}.jsonc", std::process::id()));
        fs::write(&path, settings.to_string()).expect("settings file");
        let child = Command::new(program("fireflyleverd"))
            .arg(&path)
            .spawn()
            .expect("fireflyleverd");
        let address = settings["listen"]
            .as_str()
            .expect("listen")
            .parse()
            .expect("address");
        Self { child, address }
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args(["-s", name, &self.child.id().to_string()])
            .status();
        assert!(status.expect("kill").success());
    }

    /// Waits until the process has ended.
    pub fn wait(mut self) -> ExitStatus {
        self.child.wait().expect("wait")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the path of a program of this workspace; CI builds all programs before the tests.
fn program(name: &str) -> PathBuf {
    let mut path = std::env::current_exe().expect("test program");
    path.pop();
    path.pop();
    path.push(name);
    assert!(
        path.exists(),
        "{} is not built: cargo build --workspace --bins",
        path.display()
    );
    path
}

/// Returns a loopback address whose port was free at the time of the call.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .and_then(|listener| listener.local_addr())
        .expect("port")
}

/// Returns the settings of a host with free ports.
pub fn host_settings(name: &str, store: SocketAddr) -> Value {
    json!({
        "name": name, "region": "costa", "zone": "costa-norte",
        "listen": free_address(), "admin_listen": free_address(), "peer_listen": free_address(),
        "store": store, "store_poll_ms": 50,
        "peer_keys": [{"id": 1, "secret_hex": "00112233445566778899aabbccddeeff"}],
    })
}

/// Returns a configuration with one engine and one plain service.
pub fn config(version: u64, engine: SocketAddr, service: SocketAddr) -> Value {
    json!({
        "version": version,
        "classes": [
            {"name": "urgent", "tier": 0, "first_token_ms": 790, "token_gap_ms": 33,
                "max_wait_ms": 60_000},
            {"name": "bulk", "tier": 2, "first_token_ms": 10_000, "token_gap_ms": 200,
                "max_wait_ms": 60_000, "reserved_percent": 10},
        ],
        "accounts": [{
            "name": "member-a", "key_sha256": [hash_api_key(KEY)], "default_class": "urgent",
            "classes": ["bulk"], "requests_per_s": 1_000, "requests_in_flight": 1_000,
            "tokens_in_flight": 1_000_000,
        }],
        "upstreams": [
            {"name": "engine-1", "kind": "model", "address": engine, "region": "costa",
                "zone": "costa-norte", "models": ["faucet-vision"], "slots": 8,
                "honours": {"priority": true, "resume": true}},
            {"name": "inventory-1", "kind": "service", "address": service, "region": "costa",
                "zone": "costa-norte", "service": "inventory", "slots": 8},
        ],
        "services": [{"name": "inventory", "answer_max_ms": 5_000,
            "non_idempotent": [{"method": "POST", "path_prefix": "/reservations"}]}],
    })
}

/// Writes the first configuration into the store stand-in.
pub async fn put_config(client: &Client, store: SocketAddr, config: &Value) {
    let url = format!("http://{store}/rows/release/current");
    let answer = client
        .put(url)
        .header("if-none-match", "*")
        .send_body(config.to_string())
        .await
        .unwrap();
    assert!(answer.status().is_success(), "{}", answer.status());
}

/// Polls a path until it answers with a success status.
pub async fn wait_ok(client: &Client, address: &str, path: &str) {
    for _ in 0..POLLS_MAX {
        let answer = client.get(format!("http://{address}{path}")).send().await;
        if answer.is_ok_and(|answer| answer.status().is_success()) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("{address}{path} never answered with success");
}

/// Sends a chat request and returns its status and its body.
pub async fn chat(client: &Client, daemon: SocketAddr, body: &Value) -> (u16, String) {
    let answer = client
        .post(format!("http://{daemon}/v1/chat/completions"))
        .header("authorization", format!("Bearer {KEY}"))
        .timeout(Millis(60_000))
        .send_json(body)
        .await
        .expect("answer");
    let status = answer.status().as_u16();
    let bytes = answer.body().limit(1 << 20).await.expect("body");
    (status, String::from_utf8_lossy(&bytes).into_owned())
}

/// Sends a GET request and returns the answer's JSON body.
pub async fn get_json(client: &Client, url: &str) -> Value {
    let answer = client.get(url).send().await.expect("answer");
    answer.json().await.expect("JSON")
}

/// Returns the start line and the headers of a request.
pub fn head(path: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {KEY}\r\n\
         content-type: application/json\r\n"
    )
}

/// Returns a request whose connection is closed after the answer.
pub fn post(path: &str, body: &str) -> String {
    let (head, length) = (head(path), body.len());
    format!("{head}connection: close\r\ncontent-length: {length}\r\n\r\n{body}")
}

/// Sends a request and returns the status of its answer, which has to be complete.
pub async fn exchange(address: SocketAddr, request: &str) -> Option<String> {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        stream.write_all(request.as_bytes()).await.ok()?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await.ok()?;
        let answer = String::from_utf8_lossy(&answer).into_owned();
        Some(answer.split(' ').nth(1)?.to_owned())
    };
    timeout(ANSWER_LIMIT, exchange).await.ok()?
}

/// One daemon and its stand-ins as processes, with a configuration in force.
pub struct Fleet {
    pub engine: Process,
    pub service: Process,
    pub store: Process,
    pub daemon: Process,
    pub admin: String,
    pub client: Client,
}

impl Fleet {
    /// Starts all processes and waits until the daemon is ready.
    pub async fn start(name: &str) -> Self {
        let engine = Process::standin("standin-engine", &[]);
        let service = Process::standin("standin-service", &[]);
        let store = Process::standin("standin-store", &[]);
        let settings = host_settings(name, store.address);
        let daemon = Process::daemon(&settings);
        let client = Client::builder()
            .connector::<()>(Connector::new().limit(1 << 20))
            .build(SharedCfg::new("TEST"))
            .await
            .expect("client");
        put_config(
            &client,
            store.address,
            &config(1, engine.address, service.address),
        )
        .await;
        let admin = settings["admin_listen"]
            .as_str()
            .expect("address")
            .to_owned();
        wait_ok(&client, &admin, "/readyz").await;
        Self {
            engine,
            service,
            store,
            daemon,
            admin,
            client,
        }
    }
}
