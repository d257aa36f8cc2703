//! Case 7: a lookup that all callers repeat, and three of its answers that are lost, one at each
//! server.
//!
//! Three machines and the three servers of `balcao-pecas`, with the bounds of `fnf-rotas`. The day
//! ends with the final fault of the pages: all processes are killed, and traffic goes on.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use eyre::{Result, eyre};
use review_rig::{
    Daemon, Limits, Record, Site, has_trouble, head, http, main_with, open, route, unix_ms,
};
use serde_json::json;
use tokio::{
    io::{AsyncWriteExt as _, BufReader},
    net::{TcpListener, TcpStream},
    time::{Instant, interval, sleep, sleep_until, timeout},
};

/// Servers of the service.
const SERVERS: usize = 3;

/// Machines.
const MACHINES: usize = 3;

/// Time between two requests of all callers together.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// One request in this many is an order, each with a body of its own; the others are the lookup.
const ORDER_EVERY: u64 = 8;

/// Times, since traffic began, from which the servers lose one answer to a lookup each.
const LOSSES_S: [u64; SERVERS] = [8, 13, 18];

/// Time of the final fault, and for how long the processes are down.
const KILL_S: u64 = 22;
const DOWN: Duration = Duration::from_millis(600);

/// The deployment's `recover_s`, and the time after it in which requests are counted.
const RECOVER: Duration = Duration::from_secs(12);
const COUNTED: Duration = Duration::from_secs(15);

#[tokio::main]
async fn main() {
    main_with(run()).await;
}

/// A request of a caller.
#[derive(Clone)]
struct Call {
    sent: Duration,
    is_order: bool,
    outcome: String,
}

type Calls = Arc<Mutex<Vec<Call>>>;

/// A sound server that loses the answer to the next lookup when it is told to.
#[derive(Default)]
struct Server {
    loses_next: AtomicBool,
    runs: AtomicU64,
    lost: AtomicU64,
}

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
    configure(&site);
    let mut servers = Vec::new();
    for number in 1..=SERVERS {
        let listener = TcpListener::bind((site.ip(200), 0)).await?;
        let server = Arc::new(Server::default());
        let id = format!("i-balcao-{number}");
        site.register(
            &id,
            "balcao-pecas",
            listener.local_addr()?,
            6,
            "ready",
            unix_ms(),
        );
        servers.push(server.clone());
        let record = record.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (server, record) = (server.clone(), record.clone());
                tokio::spawn(async move { serve(stream, number, &server, &record).await });
            }
        });
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
    let calls = Calls::default();
    let fronts: Vec<SocketAddr> = machines.iter().map(|machine| machine.front).collect();
    let traffic = tokio::spawn(send_requests(began, fronts, calls.clone()));
    for (server, at_s) in servers.iter().zip(LOSSES_S) {
        sleep_until(began + Duration::from_secs(at_s)).await;
        server.loses_next.store(has_trouble(), Ordering::Relaxed);
    }
    sleep_until(began + Duration::from_secs(KILL_S)).await;
    // The final fault follows the acknowledgement of one more version, here with the same routes.
    configure(&site);
    record.line("the store has acknowledged a version of the configuration");
    let killed_at = began.elapsed();
    if has_trouble() {
        restart_all(&record, &mut machines).await?;
    }
    let back_at = began.elapsed();
    sleep(RECOVER + COUNTED).await;
    traffic.abort();
    sleep(Duration::from_millis(500)).await;
    for machine in &mut machines {
        machine.kill().await;
    }
    let calls = calls.lock().map_err(|_| eyre!("poisoned"))?.clone();
    write_seconds(&record, &calls);
    for (number, server) in (1..).zip(&servers) {
        record.line(&format!(
            "server {number}: ran {} requests, the answers to {} were lost",
            server.runs.load(Ordering::Relaxed),
            server.lost.load(Ordering::Relaxed)
        ));
    }
    let before = share_served(&record, &calls, "before the final fault", |sent| {
        sent < killed_at
    });
    let after = share_served(
        &record,
        &calls,
        "later than recover_s after the machines were back",
        |sent| sent > back_at + RECOVER,
    );
    // The rule: less than a quarter is served, though a quarter or more was before the final fault.
    let is_broken = after < 0.25 && before >= 0.25;
    record.line(if is_broken { "BROKEN: RECOVER" } else { "held" });
    Ok(!is_broken)
}

/// Writes a version of the configuration.
fn configure(site: &Site) {
    site.configure(
        &[
            route("stock-lookup", "idempotent", "balcao-pecas", 3_000, 2),
            route("parts-order", "non_idempotent", "balcao-pecas", 3_000, 1),
        ],
        &[json!({"name": "balcao-pecas"})],
    );
}

/// The final fault: all processes are killed, and started again.
async fn restart_all(record: &Record, machines: &mut [Daemon]) -> Result<()> {
    for machine in machines.iter_mut() {
        machine.kill().await;
    }
    record.line("final fault: all processes are killed");
    sleep(DOWN).await;
    for machine in machines.iter_mut() {
        machine.restart()?;
    }
    for machine in machines.iter() {
        machine.wait_ready().await?;
    }
    record.line("all machines are back and ready");
    Ok(())
}

/// Sends requests at a steady rate, each on a new connection to the next machine.
async fn send_requests(began: Instant, fronts: Vec<SocketAddr>, calls: Calls) {
    let mut ticks = interval(REQUEST_INTERVAL);
    for number in 0_u64.. {
        ticks.tick().await;
        let front = fronts[usize::try_from(number).unwrap_or(0) % fronts.len()];
        let calls = calls.clone();
        tokio::spawn(async move {
            let (sent, is_order) = (began.elapsed(), number.is_multiple_of(ORDER_EVERY));
            let outcome = call(front, number, is_order).await;
            if let Ok(mut calls) = calls.lock() {
                calls.push(Call {
                    sent,
                    is_order,
                    outcome,
                });
            }
        });
    }
}

/// Makes one request and returns its status, with the daemon's own reason if it has one.
async fn call(front: SocketAddr, number: u64, is_order: bool) -> String {
    let id = format!("request-{number}");
    let request = if is_order {
        let body = format!("order {number}");
        let further = format!("Content-Length: {}\r\n", body.len());
        head("POST", "/parts-order/new", &id, 3_000, &further) + &body
    } else {
        head("GET", "/stock-lookup/all", &id, 3_000, "")
    };
    let outcome = async {
        let mut stream = open(front).await?;
        stream.write_all(request.as_bytes()).await?;
        eyre::Ok(http::read(&mut stream).await?)
    };
    match timeout(Duration::from_secs(3), outcome).await {
        Ok(Ok(Some(answer))) => {
            let status = answer.start_line_word(1);
            let is_servers = answer.header("response-stamp").is_some();
            let reason = answer.header("x-result-code").unwrap_or_default();
            match (is_servers, reason) {
                (true, _) | (false, "") => status.to_owned(),
                (false, reason) => format!("{status}/{reason}"),
            }
        }
        Ok(Ok(None) | Err(_)) => "no answer".to_owned(),
        Err(_) => "deadline".to_owned(),
    }
}

/// Writes what was answered in each second.
fn write_seconds(record: &Record, calls: &[Call]) {
    let mut seconds: BTreeMap<u64, BTreeMap<String, u32>> = BTreeMap::new();
    for call in calls {
        let kind = if call.is_order { "order" } else { "lookup" };
        let outcomes = seconds.entry(call.sent.as_secs()).or_default();
        *outcomes
            .entry(format!("{kind} {}", call.outcome))
            .or_default() += 1;
    }
    for (second, outcomes) in seconds {
        let outcomes = outcomes
            .iter()
            .map(|(outcome, count)| format!("{count} x {outcome}"));
        let outcomes: Vec<String> = outcomes.collect();
        record.line(&format!("sent in second {second}: {}", outcomes.join(", ")));
    }
}

/// Returns the share of the requests of a time that were served.
fn share_served<F>(record: &Record, calls: &[Call], name: &str, is_counted: F) -> f64
where
    F: Fn(Duration) -> bool,
{
    let counted: Vec<&Call> = calls.iter().filter(|call| is_counted(call.sent)).collect();
    let served = counted.iter().filter(|call| call.outcome == "200").count();
    let share = served as f64 / counted.len().max(1) as f64;
    record.line(&format!(
        "{name}: {served} of {} requests served ({share:.2})",
        counted.len()
    ));
    share
}

/// Serves requests in 15 ms each.
async fn serve(stream: TcpStream, number: usize, server: &Server, record: &Record) {
    let mut stream = BufReader::new(stream);
    while let Ok(Some(request)) = http::read(&mut stream).await {
        let id = request.header("request-id").unwrap_or_default();
        server.runs.fetch_add(1, Ordering::Relaxed);
        sleep(Duration::from_millis(15)).await;
        let is_lookup = request.start_line_word(0) == "GET";
        if is_lookup && server.loses_next.swap(false, Ordering::Relaxed) {
            server.lost.fetch_add(1, Ordering::Relaxed);
            record.line(&format!(
                "server {number} has run {id}, and its answer is lost"
            ));
            return;
        }
        let head = format!("request-id: {id}\r\nresponse-stamp: stamp.{id}\r\n");
        if http::write_response(&mut stream, 200, &head, "in stock")
            .await
            .is_err()
        {
            return;
        }
    }
}
