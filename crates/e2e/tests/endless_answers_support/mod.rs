//! Crowd of callers before faulty upstreams of the router's own interface, and ordinary callers
//! beside it.

use std::time::Duration;

use crowd::{Crowd, EndlessAnswer, EndlessUpstream, Usage};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::support::{Process, config, exchange, host_settings, post};

/// Memory of the daemon's host.
const MEMORY_MAX_MB: u64 = 64;

/// Descriptors of the daemon's host.
const DESCRIPTORS_MAX: usize = 256;

/// Requests that a faulty upstream takes at a time.
const SLOTS: u32 = 512;

/// Callers of the faulty upstream.
const CALLERS: usize = 96;

/// Largest part of an answer that a caller reads at once; it reads on without a pause.
const READ_BYTES: usize = 64 * 1024;

/// Pause between two ordinary requests.
const ORDINARY_PAUSE: Duration = Duration::from_millis(50);

/// Time for which the daemon starts.
const START_MAX: Duration = Duration::from_secs(15);

/// Path of chats.
const CHATS: &str = "/v1/chat/completions";

/// What the callers of the faulty upstream send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Calls of a plain service.
    Call,
    /// Chats whose answer is one body.
    Chat,
    /// Chats whose answer is a stream.
    Stream,
}

impl Kind {
    /// Returns a request to the faulty upstream that no other caller sends.
    fn request(self) -> String {
        let number: u64 = rand::random();
        if self == Self::Call {
            return post("/services/drawings/parts", &number.to_string());
        }
        chat("faulty", &format!("{number} drips"), self == Self::Stream)
    }

    /// Returns the content type of the faulty upstream.
    const fn content_type(self) -> &'static str {
        match self {
            Self::Call => "application/octet-stream",
            Self::Chat | Self::Stream => "text/event-stream",
        }
    }
}

/// Daemon with limited memory and descriptors, beside one sound and one faulty upstream of each kind.
struct Site {
    daemon: Process,
    upstream: EndlessUpstream,
    _others: [Process; 3],
}

impl Site {
    async fn start(name: &str, kind: Kind, answer: EndlessAnswer) -> Self {
        let engine = Process::standin("standin-engine", &[]);
        let service = Process::standin("standin-service", &[]);
        let store = Process::standin("standin-store", &[]);
        let upstream = EndlessUpstream::start(answer, kind.content_type())
            .await
            .unwrap();
        let mut config = config(1, engine.address, service.address);
        add_faulty(&mut config, &upstream);
        let config = config.to_string();
        let request = format!(
            "PUT /rows/release/current HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
             if-none-match: *\r\ncontent-length: {}\r\n\r\n{config}",
            config.len()
        );
        let written = exchange(store.address, &request).await;
        assert!(written.is_some_and(|status| status.starts_with('2')));
        let mut settings = host_settings(name, store.address);
        settings["memory_max_mb"] = json!(MEMORY_MAX_MB);
        settings["descriptors_max"] = json!(DESCRIPTORS_MAX);
        settings["workers"] = json!(1);
        Self {
            daemon: Process::daemon(&settings),
            upstream,
            _others: [engine, service, store],
        }
    }

    /// Waits until the ordinary requests are answered.
    async fn wait_until_ready(&self) {
        let end = Instant::now() + START_MAX;
        while !self
            .ordinary_statuses()
            .await
            .iter()
            .all(|status| is_success(status))
        {
            assert!(Instant::now() < end, "the daemon doesn't answer");
            sleep(ORDINARY_PAUSE).await;
        }
    }

    /// Returns the statuses of an ordinary chat and an ordinary call, empty where there is none.
    async fn ordinary_statuses(&self) -> [String; 2] {
        let address = self.daemon.address;
        let chat = chat("faucet-vision", "the left tap drips len=2", false);
        let call = post("/services/inventory/parts", "body");
        [
            exchange(address, &chat).await.unwrap_or_default(),
            exchange(address, &call).await.unwrap_or_default(),
        ]
    }
}

/// Plays one way for this time: observes the daemon and ordinary callers beside the crowd, and
/// checks both.
pub async fn check(name: &str, kind: Kind, answer: EndlessAnswer, duration: Duration) {
    let site = Site::start(&format!("own-endless-{name}"), kind, answer).await;
    site.wait_until_ready().await;
    let mut usage = Usage::of(site.daemon.id());
    let crowd = Crowd::of_requests(
        site.daemon.address,
        CALLERS,
        (READ_BYTES, Duration::ZERO),
        move || kind.request().into_bytes(),
    );
    let end = Instant::now() + duration;
    let mut statuses = Vec::new();
    let mut longest = Duration::ZERO;
    let ordinary = async {
        while Instant::now() < end {
            let begun = Instant::now();
            statuses.extend(site.ordinary_statuses().await);
            longest = longest.max(begun.elapsed());
            sleep(ORDINARY_PAUSE).await;
        }
    };
    tokio::join!(ordinary, usage.observe(duration));
    let answered = statuses.iter().filter(|status| is_success(status)).count();
    let (requests, sent_bytes) = (site.upstream.requests(), site.upstream.sent_bytes());
    println!("{kind:?} {answer}: {requests} requests at the upstream, {sent_bytes} bytes sent");
    usage.sample();
    let (peak_kib, descriptors) = (usage.peak_kib(), usage.descriptors_max());
    println!(
        "{kind:?} {answer}: peak {peak_kib} KiB, {descriptors} descriptors, {answered} of {} \
         ordinary requests answered, the longest two in {longest:?}",
        statuses.len()
    );
    assert!(
        requests > 0,
        "{kind:?} {answer}: no request reached the upstream"
    );
    assert_eq!(
        answered,
        statuses.len(),
        "{kind:?} {answer}: {statuses:?}, peak {peak_kib} KiB"
    );
    assert!(
        peak_kib <= MEMORY_MAX_MB * 1_024,
        "{kind:?} {answer}: {peak_kib} KiB"
    );
    assert!(
        descriptors <= DESCRIPTORS_MAX,
        "{kind:?} {answer}: {descriptors} descriptors"
    );
    drop(crowd);
    assert!(
        site.ordinary_statuses()
            .await
            .iter()
            .all(|status| is_success(status))
    );
    assert!(usage.peak_kib() <= MEMORY_MAX_MB * 1_024);
}

/// Returns whether the status is that of an answer of the upstream.
fn is_success(status: &str) -> bool {
    status.starts_with('2')
}

/// Returns a chat with this prompt.
fn chat(model: &str, prompt: &str, is_stream: bool) -> String {
    let body = json!({
        "model": model, "stream": is_stream,
        "messages": [{"role": "user", "content": prompt}],
    });
    post(CHATS, &body.to_string())
}

/// Adds a model and a service whose only upstream is faulty.
fn add_faulty(config: &mut Value, upstream: &EndlessUpstream) {
    let common = json!({
        "address": upstream.address(), "region": "costa", "zone": "costa-norte", "slots": SLOTS,
    });
    let mut engine = common.clone();
    engine["name"] = json!("engine-2");
    engine["kind"] = json!("model");
    engine["models"] = json!(["faulty"]);
    engine["honours"] = json!({"priority": true, "resume": true});
    let mut service = common;
    service["name"] = json!("drawings-1");
    service["kind"] = json!("service");
    service["service"] = json!("drawings");
    config["upstreams"]
        .as_array_mut()
        .unwrap()
        .extend([service, engine]);
    config["services"]
        .as_array_mut()
        .unwrap()
        .push(json!({"name": "drawings", "answer_max_ms": 5_000, "non_idempotent": []}));
}
