//! Case 6: servers that are restarted one after the other and keep their ids.
//!
//! Two machines with the bounds of `fnf-rotas`, the three servers of `balcao-pecas`, and one server
//! of another service, which stays. Each restart is a planned one: the server reports `draining`,
//! says so in its answers, serves on, exits, and starts again under its id with another `born`.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use eyre::{Result, eyre};
use review_rig::{Limits, Record, Site, has_trouble, head, http, main_with, open, route, unix_ms};
use serde_json::json;
use tokio::{
    io::{AsyncWriteExt as _, BufReader},
    net::{TcpListener, TcpStream},
    sync::watch,
    time::{Instant, interval, sleep, sleep_until, timeout},
};

/// Machines, and servers of the service that is restarted.
const MACHINES: usize = 2;
const SERVERS: usize = 3;

/// The deployment's `drain_ms`, and how much longer a server serves.
const DRAIN: Duration = Duration::from_millis(3_000);
const LINGER: Duration = Duration::from_millis(500);

/// Time that a server needs to start again.
const START: Duration = Duration::from_millis(700);

/// Times, since traffic began, at which the servers are restarted.
const RESTARTS_S: [u64; SERVERS] = [6, 11, 16];

/// Length of the day.
const DAY: Duration = Duration::from_secs(90);

/// Time between two requests of all callers together.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

#[tokio::main]
async fn main() {
    main_with(run()).await;
}

/// Server that can be stopped and started again at its address.
struct Server {
    id: String,
    address: SocketAddr,
    /// Whether it is leaving, and whether it has exited.
    state: watch::Sender<(bool, bool)>,
    /// Unix time of its start, in milliseconds.
    born: u64,
    runs: Arc<AtomicU64>,
}

impl Server {
    /// Starts a server on a free port or at an address.
    async fn start(id: &str, address: SocketAddr, runs: Arc<AtomicU64>) -> Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (state, receiver) = watch::channel((false, false));
        let server_runs = runs.clone();
        tokio::spawn(async move {
            let mut exit = receiver.clone();
            loop {
                let accepted = tokio::select! {
                    accepted = listener.accept() => accepted,
                    _ = exit.wait_for(|state| state.1) => return,
                };
                let Ok((stream, _)) = accepted else { return };
                tokio::spawn(serve(stream, receiver.clone(), server_runs.clone()));
            }
        });
        Ok(Self {
            id: id.to_owned(),
            address,
            state,
            born: unix_ms(),
            runs,
        })
    }
}

/// Requests by kind and second, with their outcomes.
type Outcomes = Arc<Mutex<BTreeMap<(&'static str, u64, String), u32>>>;

async fn run() -> Result<bool> {
    let record = Record::create()?;
    let limits = Limits {
        memory_mb: 110,
        descriptors: 4100,
        drain_ms: 3000,
        config_apply_ms: 3000,
        grace_s: 8,
    };
    let mut site = Site::start(limits).await?;
    site.configure(
        &[
            route("stock-lookup", "idempotent", "balcao-pecas", 3_000, 2),
            route("parts-order", "non_idempotent", "balcao-pecas", 3_000, 1),
            route("price-list", "idempotent", "precos", 3_000, 2),
        ],
        &[json!({"name": "balcao-pecas"}), json!({"name": "precos"})],
    );
    let any = SocketAddr::from((site.ip(200), 0));
    let other = Server::start("i-precos-1", any, Arc::default()).await?;
    site.register(&other.id, "precos", other.address, 12, "ready", other.born);
    let mut servers = Vec::new();
    for number in 1..=SERVERS {
        let server = Server::start(&format!("i-balcao-{number}"), any, Arc::default()).await?;
        site.register(
            &server.id,
            "balcao-pecas",
            server.address,
            6,
            "ready",
            server.born,
        );
        servers.push(server);
    }
    let mut machines = Vec::new();
    for _ in 0..MACHINES {
        machines.push(site.start_daemon().await?);
    }
    for machine in &machines {
        machine.wait_ready().await?;
    }
    sleep(Duration::from_secs(2)).await;
    let began = Instant::now();
    let outcomes = Outcomes::default();
    let fronts: Vec<SocketAddr> = machines.iter().map(|machine| machine.front).collect();
    let traffic = tokio::spawn(send_requests(began, fronts, outcomes.clone()));
    if has_trouble() {
        for (server, at_s) in servers.iter_mut().zip(RESTARTS_S) {
            sleep_until(began + Duration::from_secs(at_s)).await;
            restart(&record, &site, server).await?;
        }
    }
    let restarted_runs: Vec<u64> = servers.iter().map(runs_of).collect();
    sleep_until(began + DAY).await;
    traffic.abort();
    sleep(Duration::from_millis(3_200)).await;
    for machine in &mut machines {
        machine.kill().await;
    }
    for (server, before) in servers.iter().zip(restarted_runs) {
        record.line(&format!(
            "{} ran {} requests, {} of them after the last restart",
            server.id,
            runs_of(server),
            runs_of(server) - before
        ));
    }
    let outcomes = outcomes.lock().map_err(|_| eyre!("poisoned"))?.clone();
    judge(&record, &outcomes)
}

fn runs_of(server: &Server) -> u64 {
    server.runs.load(Ordering::Relaxed)
}

/// Restarts a server as the pages say.
async fn restart(record: &Record, site: &Site, server: &mut Server) -> Result<()> {
    let (id, address) = (server.id.clone(), server.address);
    site.register(&id, "balcao-pecas", address, 6, "draining", server.born);
    server.state.send_replace((true, false));
    record.line(&format!(
        "{id} reports draining, and says so in its answers"
    ));
    sleep(DRAIN + LINGER).await;
    site.remove(&id);
    server.state.send_replace((true, true));
    record.line(&format!("{id} has exited, its entry is removed"));
    sleep(START).await;
    *server = Server::start(&id, address, server.runs.clone()).await?;
    let born = server.born;
    site.register(&id, "balcao-pecas", address, 6, "ready", born);
    record.line(&format!(
        "{id} has started again at {address}, ready, born {born}"
    ));
    Ok(())
}

/// Writes what was answered, and returns whether the rule held.
fn judge(record: &Record, outcomes: &BTreeMap<(&'static str, u64, String), u32>) -> Result<bool> {
    let mut spans: BTreeMap<(u64, &str, &str), u32> = BTreeMap::new();
    let mut kinds: BTreeMap<&str, (u32, u32)> = BTreeMap::new();
    for ((kind, second, outcome), count) in outcomes {
        *spans.entry((second / 5, kind, outcome)).or_default() += count;
        for kind in [*kind, "all"] {
            let (served, sent) = kinds.entry(kind).or_default();
            *sent += count;
            *served += if outcome == "200" { *count } else { 0 };
        }
    }
    for ((span, kind, outcome), count) in spans {
        record.line(&format!(
            "sent from second {} to {}: {count} x {kind} {outcome}",
            5 * span,
            5 * span + 5
        ));
    }
    let share = |kind: &str| {
        let (served, sent) = kinds.get(kind).copied().unwrap_or_default();
        f64::from(served) / f64::from(sent.max(1))
    };
    let all = share("all");
    let mut is_broken = false;
    for (kind, (served, sent)) in &kinds {
        let starved = share(kind) < all / 4.0;
        is_broken |= starved;
        record.line(&format!(
            "{kind}: {served} of {sent} served ({:.2}){}",
            share(kind),
            if starved {
                ", less than a quarter as often as all"
            } else {
                ""
            }
        ));
    }
    record.line(if is_broken { "BROKEN: Starved" } else { "held" });
    Ok(!is_broken)
}

/// Sends requests at a steady rate, each on a new connection to the next machine: seven price lists,
/// two lookups and an order in turn.
async fn send_requests(began: Instant, fronts: Vec<SocketAddr>, outcomes: Outcomes) {
    let mut ticks = interval(REQUEST_INTERVAL);
    for number in 0_u64.. {
        ticks.tick().await;
        let front = fronts[usize::try_from(number / 10).unwrap_or(0) % fronts.len()];
        let outcomes = outcomes.clone();
        tokio::spawn(async move {
            let kind = match number % 10 {
                0 | 5 => "stock-lookup",
                3 => "parts-order",
                _ => "price-list",
            };
            let second = began.elapsed().as_secs();
            let outcome = call(front, kind, number).await;
            if let Ok(mut outcomes) = outcomes.lock() {
                *outcomes.entry((kind, second, outcome)).or_default() += 1;
            }
        });
    }
}

/// Makes one request and returns its status, with the daemon's own reason if it has one.
async fn call(front: SocketAddr, kind: &str, number: u64) -> String {
    let id = format!("request-{number}");
    let request = if kind == "parts-order" {
        let body = format!("order {number}");
        let further = format!("Content-Length: {}\r\n", body.len());
        head("POST", "/parts-order/new", &id, 3_000, &further) + &body
    } else {
        head("GET", &format!("/{kind}/{number}"), &id, 3_000, "")
    };
    let outcome = async {
        let mut stream = open(front).await?;
        stream.write_all(request.as_bytes()).await?;
        eyre::Ok(http::read(&mut stream).await?)
    };
    match timeout(Duration::from_secs(3), outcome).await {
        Ok(Ok(Some(answer))) => {
            let status = answer.start_line_word(1);
            let reason = answer.header("x-result-code");
            reason.map_or_else(|| status.to_owned(), |reason| format!("{status}/{reason}"))
        }
        Ok(Ok(None) | Err(_)) => "no answer".to_owned(),
        Err(_) => "deadline".to_owned(),
    }
}

/// Serves requests in 15 ms each until the server exits.
async fn serve(stream: TcpStream, state: watch::Receiver<(bool, bool)>, runs: Arc<AtomicU64>) {
    let mut stream = BufReader::new(stream);
    let mut exit = state.clone();
    loop {
        let request = tokio::select! {
            request = http::read(&mut stream) => request,
            _ = exit.wait_for(|state| state.1) => return,
        };
        let Ok(Some(request)) = request else { return };
        runs.fetch_add(1, Ordering::Relaxed);
        sleep(Duration::from_millis(15)).await;
        let id = request.header("request-id").unwrap_or_default();
        let leaving = if state.borrow().0 {
            "server-leaving: 1\r\nconnection: close\r\n"
        } else {
            ""
        };
        let head = format!("request-id: {id}\r\nresponse-stamp: stamp.{id}\r\n{leaving}");
        let sent = http::write_response(&mut stream, 200, &head, "in stock").await;
        if sent.is_err() || !leaving.is_empty() {
            return;
        }
    }
}
