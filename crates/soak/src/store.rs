use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use data_encoding::BASE64;
use eyre::Result;
use serde_json::{Value, json};
use tokio::{
    io::BufReader,
    net::{TcpListener, TcpStream},
    time::sleep,
};

use crate::http;

/// Pause between two looks for a change, while a call is held back.
const LOOK_PAUSE: Duration = Duration::from_millis(20);

/// How the store misbehaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mood {
    Sound,
    /// Answers 503.
    Busy,
    /// Does not answer.
    Silent,
    /// Answers as if its history were gone.
    Forgetful,
}

#[derive(Debug)]
struct State {
    /// Values and versions by table and key.
    rows: BTreeMap<(String, String), (String, u64)>,
    version: u64,
    mood: Mood,
    /// Number of the path under which routes are in force.
    generation: u64,
}

/// Store of the platform, as far as the router uses it.
#[derive(Debug, Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Store {
    pub async fn start() -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let store = Self {
            address: listener.local_addr()?,
            state: Arc::new(Mutex::new(State {
                rows: BTreeMap::new(),
                version: 0,
                mood: Mood::Sound,
                generation: 0,
            })),
        };
        store.change_config();
        let served = store.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let store = served.clone();
                tokio::spawn(async move { store.serve(stream).await });
            }
        });
        Ok(store)
    }

    pub fn set_mood(&self, mood: Mood) {
        self.state().mood = mood;
    }

    pub fn heal(&self) {
        self.set_mood(Mood::Sound);
    }

    /// Returns the number of the path under which routes are in force.
    pub fn generation(&self) -> u64 {
        self.state().generation
    }

    /// Writes a row, as the operator and upstreams do.
    pub fn put(&self, table: &str, key: &str, content: &Value) {
        let mut state = self.state();
        state.version += 1;
        let value = BASE64.encode(content.to_string().as_bytes());
        let row = (value, state.version);
        state.rows.insert((table.to_owned(), key.to_owned()), row);
    }

    /// Puts a configuration in force whose routes have a new path; the last path stays valid.
    pub fn change_config(&self) {
        let (version, generation) = {
            let mut state = self.state();
            state.generation += 1;
            (state.version + 1, state.generation)
        };
        let mut routes = Vec::new();
        for generation in generation.saturating_sub(1)..=generation {
            for (kind, resume) in [
                ("non_idempotent", false),
                ("idempotent", false),
                ("streaming", true),
            ] {
                let path = match kind {
                    "non_idempotent" => "once",
                    "idempotent" => "again",
                    _ => "stream",
                };
                routes.push(json!({
                    "name": format!("{path}-{generation}"), "host": "soak.example",
                    "prefix": format!("/g{generation}/{path}/"), "kind": kind, "timeout_ms": 4000,
                    "target_latency_ms": 500, "priority": 1, "service": "parts", "max_attempts": 2,
                    "public": true, "stream_resume": resume,
                }));
            }
        }
        let config = json!({"version": version, "routes": routes, "services": [{"name": "parts"}]});
        self.put("op", "config", &config);
    }

    async fn serve(&self, stream: TcpStream) {
        let mut stream = BufReader::new(stream);
        while let Ok(Some(request)) = http::read(&mut stream).await {
            let mood = self.state().mood;
            let target = request.word(1).to_owned();
            let (status, body) = match mood {
                Mood::Silent => {
                    sleep(Duration::from_secs(30)).await;
                    return;
                }
                Mood::Busy => (503, json!({})),
                Mood::Forgetful if target.contains("rows-feed") => (410, json!({})),
                Mood::Sound | Mood::Forgetful => (200, self.answer(&target, &request.body).await),
            };
            let body = body.to_string();
            if http::answer(&mut stream, status, "", &body).await.is_err() {
                return;
            }
        }
    }

    async fn answer(&self, target: &str, body: &str) -> Value {
        let query = |name: &str| {
            let (_, query) = target.split_once('?')?;
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(known, _)| *known == name)
                .map(|(_, value)| value.to_owned())
        };
        if target.starts_with("/api/rows-tx") {
            let call: Value = serde_json::from_str(body).unwrap_or_default();
            let mut state = self.state();
            state.version += 1;
            let version = state.version;
            for row in call["put"].as_array().into_iter().flatten() {
                let text = |name: &str| row[name].as_str().unwrap_or_default().to_owned();
                state
                    .rows
                    .insert((text("table"), text("key")), (text("value"), version));
            }
            return json!({"ver": version, "now_ms": 1});
        }
        let table = query("table").unwrap_or_default();
        let after: u64 = query("after")
            .and_then(|after| after.parse().ok())
            .unwrap_or(0);
        let wait_ms: u64 = query("wait_ms")
            .and_then(|wait| wait.parse().ok())
            .unwrap_or(0);
        let looks = wait_ms / u64::try_from(LOOK_PAUSE.as_millis()).unwrap_or(1);
        for _ in 0..looks {
            if self.changed(&table, after) {
                break;
            }
            sleep(LOOK_PAUSE).await;
        }
        let state = self.state();
        let rows = state
            .rows
            .iter()
            .filter(|((known, _), (_, version))| *known == table && *version > after);
        let rows: Vec<Value> = rows
            .map(|((table, key), (value, version))| {
                json!({"table": table, "part": "", "key": key, "value": value, "ver": version})
            })
            .collect();
        json!({"rows": rows, "has_more": false, "ver": state.version, "now_ms": 1})
    }

    fn changed(&self, table: &str, after: u64) -> bool {
        let state = self.state();
        let mut rows = state.rows.iter();
        state.mood != Mood::Sound
            || rows.any(|((known, _), (_, version))| known == table && *version > after)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
