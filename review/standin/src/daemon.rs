//! The program of the deploy file as a child process, with the settings of its template.

use std::{
    fs::{self, File},
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::Stdio,
    time::Duration,
};

use eyre::{Result, WrapErr as _, ensure, eyre};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use tokio::{
    process::{Child, Command},
    time::{Instant, sleep},
};

use crate::{client::Connection, record::Record};

/// Daemon of one machine.
pub struct Daemon {
    pub name: String,
    /// Address for clients.
    pub front: SocketAddr,
    /// Address of the readiness check.
    pub ready: SocketAddr,
    child: Child,
    folder: PathBuf,
}

impl Daemon {
    /// Starts a daemon at a loopback address of its own.
    pub fn start(root: &Path, name: &str, store: SocketAddr, record: &Record) -> Result<Self> {
        // An address for each daemon, because the template fixes the port of the metrics.
        let ip = format!(
            "127.{}.{}.{}",
            rand::random_range(1..=250),
            rand::random_range(1..=250),
            rand::random_range(1..=250)
        );
        let [front, ready, peers] = free_ports(&ip)?;
        let fields = json!({
            "node_name": name, "ip": ip, "zone": "costa-norte", "region": "costa",
            "front": format!("{ip}:{front}"), "ready": format!("{ip}:{ready}"),
            "peers_port": peers, "store": store.to_string(),
        });
        let template = fs::read_to_string(root.join("platform/host.jsonc.template"))?;
        let folder = std::env::temp_dir().join(format!("review-{}-{name}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let settings = folder.join("local.jsonc");
        fs::write(&settings, render(&template, &fields)?)?;
        let log = File::create(folder.join("log"))?;
        let program = root.join("target/release/fireflylever-edge");
        let child = Command::new(&program)
            .current_dir(root)
            .env_clear()
            .env("FIREFLYLEVER_SETTINGS", &settings)
            .stdout(Stdio::from(log.try_clone()?))
            .stderr(Stdio::from(log))
            .kill_on_drop(true)
            .spawn()
            .wrap_err_with(|| program.display().to_string())?;
        record.line(&format!("daemon {name} started, front {ip}:{front}"));
        Ok(Self {
            name: name.to_owned(),
            front: format!("{ip}:{front}").parse()?,
            ready: format!("{ip}:{ready}").parse()?,
            child,
            folder,
        })
    }

    /// Waits until the readiness check succeeds.
    pub async fn wait_ready(&self) -> Result<()> {
        let end = Instant::now() + Duration::from_secs(10);
        while Instant::now() < end {
            if let Ok(mut connection) = Connection::open(self.ready).await {
                let reply = connection
                    .exchange("GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
                    .await;
                if reply.status == 200 {
                    return Ok(());
                }
            }
            sleep(Duration::from_millis(100)).await;
        }
        Err(eyre!("{} isn't ready after 10 s", self.name))
    }

    /// Returns its resident memory; `None` if it has ended.
    pub fn memory_kib(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()?)).ok()?;
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))?;
        line.trim().strip_suffix(" kB")?.trim().parse().ok()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        let id = self
            .child
            .id()
            .ok_or_else(|| eyre!("{} has ended", self.name))?;
        let id = Pid::from_raw(i32::try_from(id)?).ok_or_else(|| eyre!("no process id"))?;
        Ok(kill_process(id, signal)?)
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Kills the process if it still runs, and removes its folder.
    pub async fn end(mut self) {
        let _ = self.child.kill().await;
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Fills in the template of the settings with the fields of `DEPLOY.md`.
fn render(template: &str, fields: &Value) -> Result<String> {
    let text = |name: &str| fields[name].as_str().unwrap_or_default().to_owned();
    let zones = r#"{"zone": "costa-norte", "region": "costa"}, {"zone": "costa-sur", "region": "costa"}, {"zone": "sierra-centro", "region": "sierra"}"#;
    let mut rendered = template.to_owned();
    if let (Some(from), Some(to)) = (rendered.find("{{#zones}}"), rendered.find("{{/zones}}")) {
        rendered.replace_range(from..to + "{{/zones}}".len(), zones);
    }
    let values = [
        ("{{node_name|json}}", json!(text("node_name")).to_string()),
        ("{{region|json}}", json!(text("region")).to_string()),
        ("{{zone|json}}", json!(text("zone")).to_string()),
        ("{{listen.front|json}}", json!(text("front")).to_string()),
        ("{{listen.ready|json}}", json!(text("ready")).to_string()),
        ("{{ip}}", text("ip")),
        ("{{port_range.0}}", fields["peers_port"].to_string()),
        (
            "{{platform.address|json}}",
            json!(text("store")).to_string(),
        ),
        ("{{bounds.drain_ms}}", "3000".to_owned()),
        ("{{bounds.config_apply_ms}}", "3000".to_owned()),
        ("{{bounds.grace_s}}", "8".to_owned()),
    ];
    for (placeholder, value) in values {
        rendered = rendered.replace(placeholder, &value);
    }
    ensure!(
        !rendered.contains("{{"),
        "unknown placeholder in {rendered}"
    );
    Ok(rendered)
}

/// Returns free ports at an address.
fn free_ports(ip: &str) -> Result<[u16; 3]> {
    let mut listeners = Vec::new();
    let mut ports = [0; 3];
    for port in &mut ports {
        let listener = TcpListener::bind((ip, 0))?;
        *port = listener.local_addr()?.port();
        listeners.push(listener);
    }
    Ok(ports)
}
