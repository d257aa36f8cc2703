//! Requests with bodies as large as the limits allow, at the usual rate, on machines with the
//! memory of the sheet.

use std::{cell::RefCell, rc::Rc, time::Duration};

use eyre::{Result, ensure};
use rustix::process::Signal;
use tokio::{
    task::spawn_local,
    time::{Instant, sleep, sleep_until},
};

use crate::{
    Case, Verdict,
    client::Connection,
    daemon::Daemon,
    server::{self, Runs},
    site,
};

/// Time from the start of the machines to the first request (`DEPLOY.md`, the sheets).
const LEAD: Duration = Duration::from_secs(10);

/// `memory_mb` of a machine of fnf-rotas; the platform kills a process that exceeds it.
const MEMORY_KIB: u64 = 110 * 1_024;

/// Interval at which the platform looks at the memory of a process.
const MEMORY_INTERVAL: Duration = Duration::from_millis(20);

/// Requests to one machine, one each 200 ms: fnf-rotas has 31 streams a second on 6 machines.
const REQUESTS: u32 = 60;
const INTERVAL: Duration = Duration::from_millis(200);

/// Size of a body: `max_body_bytes`; without the disruption the mean of the site file.
const LARGE_BODY: usize = 4_194_304;
const USUAL_BODY: usize = 17_000;

/// Streams of 24 events and 6 s, begun 1 s after the request.
const WORK: &str = "24x250";

/// Deadline and timeout of the route.
const DEADLINE_MS: u64 = 8_000;

/// Connections closed without an answer that the rule allows.
const CLOSED_MAX: usize = 3;

pub async fn run(case: &Case) -> Result<Verdict> {
    let record = &case.record;
    let store = site::start_store().await?;
    let runs = Runs::default();
    for number in 0..3 {
        let id = format!("i-engine{number}");
        server::start_slow(&store, &id, site::ENGINES, 64, &runs, record).await?;
    }
    server::start(&store, "i-stock0", site::INVENTORY, 6, &runs, record).await?;
    let daemon = Daemon::start(&case.root, "edge-recife-a-1", store.address, record)?;
    sleep(LEAD).await;
    daemon.wait_ready().await?;
    let mut connections = Vec::new();
    for number in 0..REQUESTS {
        let mut connection = Connection::open(daemon.front).await?;
        let request = site::plain_request("consulta-stock", &format!("warm{number:012x}"));
        let reply = connection.exchange(&request).await;
        ensure!(reply.status == 200, "warm-up: {}", reply.describe());
        connections.push(connection);
    }
    record.line(&format!(
        "memory when idle: {} KiB",
        daemon.memory_kib().unwrap_or(0)
    ));
    let bytes = if case.trouble { LARGE_BODY } else { USUAL_BODY };
    let body: Rc<[u8]> = vec![b'm'; bytes].into();
    let begin = Instant::now();
    // Identifiers of the requests that were sent whole and whose connection then ended without an
    // answer.
    let closed: Rc<RefCell<Vec<String>>> = Rc::default();
    let answered = Rc::new(RefCell::new(0));
    let mut tasks = Vec::new();
    for (number, mut connection) in (0..REQUESTS).zip(connections) {
        let (record, closed, answered) = (record.clone(), closed.clone(), answered.clone());
        let body = body.clone();
        tasks.push(spawn_local(async move {
            sleep_until(begin + INTERVAL * number).await;
            let id = format!("manual-{number}");
            let head = site::stream_head("manual-digest", WORK, &id, DEADLINE_MS, body.len());
            let is_sent = connection.send(head.as_bytes()).await && connection.send(&body).await;
            record.line(&format!("client: request {id} sent whole: {is_sent}"));
            let reply = connection.read().await;
            record.line(&format!("client: request {id}: {}", reply.describe()));
            *answered.borrow_mut() += u32::from(reply.complete);
            if is_sent && reply.status == 0 {
                closed.borrow_mut().push(id);
            }
        }));
    }
    let mut peak_kib = 0;
    let mut killed = false;
    while !tasks.iter().all(|task| task.is_finished()) {
        let memory_kib = daemon.memory_kib().unwrap_or(0);
        peak_kib = peak_kib.max(memory_kib);
        if !killed && memory_kib > MEMORY_KIB {
            killed = true;
            record.say(&format!(
                "platform: memory {memory_kib} KiB, over {MEMORY_KIB} KiB: SIGKILL"
            ));
            daemon.signal(Signal::KILL)?;
        }
        sleep(MEMORY_INTERVAL).await;
    }
    daemon.end().await;
    let (runs, closed) = (runs.borrow(), closed.borrow());
    let passed_on = closed
        .iter()
        .filter(|id| runs.iter().any(|run| run.request_id == **id));
    let lost = passed_on.count();
    record.say(&format!(
        "{REQUESTS} requests, {} answered whole, {} closed without an answer, {lost} of them after \
         they had been passed on; peak memory {peak_kib} KiB",
        answered.borrow(),
        closed.len()
    ));
    if !case.trouble {
        ensure!(
            *answered.borrow() == REQUESTS,
            "without the disruption all must be answered"
        );
    }
    Ok(if lost > CLOSED_MAX {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
