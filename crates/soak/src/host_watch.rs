//! Watch of the configurations that hosts have in force, and probes of their lists of upstreams.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use emulator::{
    Ledger, Operator,
    http::{self, Message},
};
use serde_json::Value;
use tokio::{
    io::{AsyncWriteExt as _, BufReader},
    net::TcpStream,
    time::{sleep, timeout},
};

/// Interval between two questions to all hosts.
const POLL_INTERVAL: Duration = Duration::from_millis(150);

/// Longest duration of a question to a host.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest duration of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(3);

/// Number of probes to each host; hosts choose among all upstreams that they take for ready.
const PROBES: usize = 16;

/// Configuration in force on a host.
#[derive(Debug, Clone, Copy)]
struct Status {
    uptime_ms: u64,
    config_version: u64,
}

/// Addresses of hosts, for callers and for operators.
#[derive(Clone)]
pub struct HostWatch {
    pub hosts: Vec<(SocketAddr, SocketAddr)>,
    pub ledger: Arc<Ledger>,
}

impl HostWatch {
    /// Checks until the task is aborted that no process returns to an older configuration.
    pub async fn run(self) {
        let mut known: Vec<Option<Status>> = vec![None; self.hosts.len()];
        loop {
            sleep(POLL_INTERVAL).await;
            for (number, &(_, admin)) in self.hosts.iter().enumerate() {
                // A host that is stopped or away has no configuration in force.
                let Some(status) = status(admin).await else {
                    continue;
                };
                let before = known[number].replace(status);
                let before = before.filter(|before| before.uptime_ms <= status.uptime_ms);
                if let Some(before) = before
                    && before.config_version > status.config_version
                {
                    let (old, new) = (before.config_version, status.config_version);
                    let detail = format!("entry-{number} went back from version {old} to {new}");
                    self.ledger.record_violation(detail);
                }
            }
        }
    }

    /// Checks that all hosts have a version of the configuration in force.
    pub async fn check_config(&self, version: u64, moment: &str) {
        for (number, &(_, admin)) in self.hosts.iter().enumerate() {
            let found = status(admin).await.map(|status| status.config_version);
            if found != Some(version) {
                let detail =
                    format!("entry-{number} has {found:?} in force, not {version}, {moment}");
                self.ledger.record_violation(detail);
            }
        }
    }

    /// Sends probes below a prefix to each host; all of them have to be served.
    pub async fn probe(&self, prefix: &str) {
        for (number, &(address, _)) in self.hosts.iter().enumerate() {
            for probe in 0..PROBES {
                let id = format!("probe-{number}-{probe}");
                self.ledger.record_sent(&id, true);
                let key = Operator::api_key(0);
                let request = format!(
                    "POST {prefix}x HTTP/1.1\r\nhost: {}\r\nrequest-id: {id}\r\napi-key: {key}\r\n\
                     deadline-ms: 2000\r\ncontent-length: 0\r\n\r\n",
                    Operator::HOST
                );
                let send = async {
                    let mut stream = BufReader::new(TcpStream::connect(address).await.ok()?);
                    exchange(&mut stream, &request).await
                };
                let response = timeout(PROBE_TIMEOUT, send).await;
                let response = response.ok().flatten().unwrap_or_default();
                if response.start_line_word(1) != "200" {
                    let answer = &response.start_line;
                    let detail = format!("{id} below {prefix} to entry-{number}: {answer:?}");
                    self.ledger.record_violation(detail);
                }
            }
        }
    }
}

/// Asks a host for its configuration in force; one connection reaches one process.
async fn status(admin: SocketAddr) -> Option<Status> {
    timeout(POLL_TIMEOUT, read_status(admin)).await.ok()?
}

async fn read_status(admin: SocketAddr) -> Option<Status> {
    let mut stream = BufReader::new(TcpStream::connect(admin).await.ok()?);
    let request = |path: &str| format!("GET {path} HTTP/1.1\r\nhost: admin\r\n\r\n");
    let status = exchange(&mut stream, &request("/admin/status")).await?;
    let status: Value = serde_json::from_str(&status.body).ok()?;
    let metrics = exchange(&mut stream, &request("/metrics")).await?;
    let mut lines = metrics.body.lines();
    let version = lines.find_map(|line| line.strip_prefix("fireflylever_config_version "))?;
    Some(Status {
        uptime_ms: status["uptime_ms"].as_u64()?,
        config_version: version.parse().ok()?,
    })
}

/// Sends a request and returns the response, if there is one.
async fn exchange(stream: &mut BufReader<TcpStream>, request: &str) -> Option<Message> {
    stream.write_all(request.as_bytes()).await.ok()?;
    http::read(stream).await.ok()?
}
