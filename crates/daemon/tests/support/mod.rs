//! Fixture for model requests and services: stand-ins and daemons in one process on free ports.

// Each test program uses only a part of this module.
#![allow(dead_code)]

use std::{future::Future, net::SocketAddr, time::Duration};

use batch::Profile;
use daemon::{Daemon, RunningDaemon};
use ntex::{client::Client, time::Millis};
use serde_json::{Value, json};
use settings::{Config, Host};
use standin::{Engine, SAMPLE_KEY, SAMPLE_MODEL, Service, Store, sample_config, sample_host};

/// Limit of polls in `wait`, so that a failing test ends.
const WAIT_ROUNDS: usize = 4_000;

/// Pause between two polls in `wait`.
const WAIT_PAUSE: Duration = Duration::from_millis(5);

/// Stand-ins for engines, service and store, with their servers.
pub struct Platform {
    pub engines: Vec<Engine>,
    pub engine_servers: Vec<standin::RunningServer>,
    pub service: Service,
    pub service_server: standin::RunningServer,
    pub store: Store,
    pub store_server: standin::RunningServer,
    pub client: Client,
}

/// Response of a daemon.
pub struct Answer {
    pub status: u16,
    pub body: String,
    pub replayed: bool,
}

impl Answer {
    /// Returns the body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_else(|error| panic!("{error}: {}", self.body))
    }

    /// Returns the number of the result code and whether the request was executed.
    pub fn code(&self) -> (u64, String) {
        let error = &self.json()["error"];
        let run = error["run"].as_str().unwrap_or_default().to_owned();
        (
            error["code"]
                .as_str()
                .unwrap_or_default()
                .parse()
                .unwrap_or_default(),
            run,
        )
    }
}

impl Platform {
    /// Starts stand-ins and writes the sample configuration into the store.
    pub async fn start(engine_count: usize) -> Self {
        Self::start_with(engine_count, Profile::default()).await
    }

    /// Starts stand-ins with engines of this profile.
    pub async fn start_with(engine_count: usize, profile: Profile) -> Self {
        let engines: Vec<Engine> = (0..engine_count)
            .map(|_| Engine::new(profile.clone(), &[SAMPLE_MODEL]).with_report_lag_ms(100))
            .collect();
        let engine_servers = engines
            .iter()
            .map(|engine| engine.start(any()).unwrap())
            .collect();
        let service = Service::default();
        let service_server = service.start(any()).unwrap();
        let store = Store::default();
        let store_server = store.start(any()).unwrap();
        let client = Client::builder()
            .connector::<()>(ntex::client::Connector::new().limit(1 << 20))
            .disable_timeout()
            .response_payload_limit(1 << 24)
            .build(ntex::SharedCfg::new("TEST"))
            .await
            .unwrap();
        let platform = Self {
            engines,
            engine_servers,
            service,
            service_server,
            store,
            store_server,
            client,
        };
        platform.put_config(1).await;
        platform
    }

    /// Writes the sample configuration with this version.
    pub async fn put_config(&self, version: u64) {
        let engines: Vec<SocketAddr> = self
            .engine_servers
            .iter()
            .map(standin::RunningServer::address)
            .collect();
        let config = sample_config(version, &engines, &[self.service_server.address()]);
        self.put_value(&serde_json::to_string(&config).unwrap())
            .await;
    }

    /// Replaces the configuration in the store.
    pub async fn put_next(&self, config: &Config) {
        self.put_value(&serde_json::to_string(config).unwrap())
            .await;
    }

    async fn put_value(&self, value: &str) {
        let url = format!(
            "http://{}/rows/release/current",
            self.store_server.address()
        );
        let mut request = self.client.put(&url).header("if-none-match", "*");
        let found = self.client.get(&url).send().await.unwrap();
        if found.status().is_success() {
            let row: Value = found.json().limit(1 << 24).await.unwrap();
            request = self
                .client
                .put(&url)
                .header("if-match", row["version"].to_string());
        }
        let answer = request.send_body(value.to_owned()).await.unwrap();
        assert!(answer.status().is_success(), "{}", answer.status());
    }

    /// Returns the settings of a host.
    pub fn host(&self, name: &str) -> Host {
        sample_host(name, self.store_server.address())
    }

    /// Starts a daemon and waits until it is ready.
    pub async fn daemon(&self, name: &str) -> RunningDaemon {
        let running = Daemon::new(self.host(name)).start().await.unwrap();
        self.wait_ready(&running).await;
        running
    }

    /// Waits until a daemon accepts work.
    pub async fn wait_ready(&self, running: &RunningDaemon) {
        let url = format!("http://{}/readyz", running.admin_listen());
        wait(async || {
            let answer = self.client.get(&url).send().await;
            answer.is_ok_and(|answer| answer.status().is_success())
        })
        .await;
    }

    /// Sends a chat request.
    pub async fn chat(&self, daemon: SocketAddr, prompt: &str, stream: bool) -> Answer {
        let body = chat_body(prompt, stream);
        self.post(daemon, "/v1/chat/completions", None, &body.to_string())
            .await
    }

    /// Sends a POST request with the sample API key and, optionally, an idempotency key.
    pub async fn post(
        &self,
        daemon: SocketAddr,
        path: &str,
        key: Option<&str>,
        body: &str,
    ) -> Answer {
        let mut request = self
            .client
            .post(format!("http://{daemon}{path}"))
            .header("authorization", format!("Bearer {SAMPLE_KEY}"))
            .content_type("application/json")
            .timeout(Millis(120_000));
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        let answer = request.send_body(body.to_owned()).await.expect("answer");
        let replayed = answer.header("idempotency-replayed").is_some();
        let status = answer.status().as_u16();
        let bytes = answer.body().limit(1 << 24).await.expect("body");
        let body = String::from_utf8_lossy(&bytes).into_owned();
        Answer {
            status,
            body,
            replayed,
        }
    }

    /// Gets a path of a daemon's admin address.
    pub async fn admin(&self, running: &RunningDaemon, path: &str) -> String {
        let url = format!("http://{}{path}", running.admin_listen());
        let answer = self.client.get(url).send().await.unwrap();
        let bytes = answer.body().limit(1 << 24).await.unwrap();
        String::from_utf8_lossy(&bytes).into_owned()
    }

    /// Stops all stand-ins.
    pub async fn stop(self) {
        for server in self.engine_servers {
            server.stop().await;
        }
        self.service_server.stop().await;
        self.store_server.stop().await;
    }
}

/// Returns a chat request for the sample model.
pub fn chat_body(prompt: &str, stream: bool) -> Value {
    json!({
        "model": SAMPLE_MODEL,
        "messages": [{"role": "user", "content": prompt}],
        "stream": stream,
    })
}

/// Returns the joined text of a streamed response, and whether the stream ended properly.
pub fn stream_text(body: &str) -> (String, bool) {
    let mut events = Vec::new();
    wire::SseDecoder::default().push(body.as_bytes(), &mut events);
    let done = events.last().map(String::as_str) == Some(wire::DONE);
    let chunks = events
        .iter()
        .filter_map(|event| wire::Chunk::parse(event).ok());
    (chunks.map(|chunk| chunk.text().to_owned()).collect(), done)
}

/// Waits until a condition holds.
pub async fn wait<F, C>(condition: C)
where
    F: Future<Output = bool>,
    C: Fn() -> F,
{
    for _ in 0..WAIT_ROUNDS {
        if condition().await {
            return;
        }
        tokio::time::sleep(WAIT_PAUSE).await;
    }
    panic!("the awaited condition never held");
}

fn any() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Starts a daemon with a configuration.
pub async fn daemon_with(platform: &Platform, config: &Config) -> RunningDaemon {
    platform.put_next(config).await;
    let running = Daemon::new(platform.host("entry-1")).start().await.unwrap();
    platform.wait_ready(&running).await;
    running
}
