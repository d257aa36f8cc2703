//! Clients offer an upgrade of the protocol with each request, as some HTTP libraries do.

use std::{cell::RefCell, rc::Rc, time::Duration};

use eyre::{Result, ensure};
use tokio::{
    task::spawn_local,
    time::{Instant, sleep, sleep_until, timeout},
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

/// Requests, one each 150 ms (5.6 a second on the sheet, on all machines).
const REQUESTS: u32 = 30;
const INTERVAL: Duration = Duration::from_millis(150);

/// `timeout_ms` of the route, and the time within which the rule wants an answer after it.
const TIMEOUT_MS: u64 = 1_200;
const ANSWER_MS: u64 = 500;

/// Time after which a client of this case gives up; far beyond its deadline.
const GIVE_UP: Duration = Duration::from_secs(6);

/// Headers of a client that can also speak HTTP/2 (RFC 7540, 3.2).
const OFFER: &str = "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n\
                     HTTP2-Settings: AAEAAEAAAAIAAAABAAMAAABkAAQBAAAAAAUAAEAA\r\n";

/// Status of an answer, if there was one, and the time from the request to it.
type Answer = (Option<u16>, u64);

pub async fn run(case: &Case) -> Result<Verdict> {
    let record = &case.record;
    let store = site::start_store().await?;
    let runs = Runs::default();
    for number in 0..3 {
        let id = format!("i-stock{number}");
        server::start(&store, &id, site::INVENTORY, 6, &runs, record).await?;
    }
    let mut daemons = Vec::new();
    for number in 1..=2 {
        let name = format!("edge-costa-norte-{number}");
        daemons.push(Daemon::start(&case.root, &name, store.address, record)?);
    }
    sleep(LEAD).await;
    for daemon in &daemons {
        daemon.wait_ready().await?;
    }
    let begin = Instant::now();
    let all: Rc<RefCell<Vec<Answer>>> = Rc::default();
    let mut tasks = Vec::new();
    for number in 0..REQUESTS {
        let front = daemons[number as usize % daemons.len()].front;
        let (record, all, trouble) = (record.clone(), all.clone(), case.trouble);
        tasks.push(spawn_local(async move {
            sleep_until(begin + INTERVAL * number).await;
            let id = format!("consulta-{number}");
            let mut request = site::plain_request("consulta-stock", &id);
            if trouble {
                request = request.replacen("Request-Id", &format!("{OFFER}Request-Id"), 1);
            }
            let sent_ms = record.now_ms();
            record.line(&format!("client: request {id} sent"));
            let Ok(mut connection) = Connection::open(front).await else {
                return record.line(&format!("client: request {id}: no connection"));
            };
            let reply = timeout(GIVE_UP, connection.exchange(&request)).await;
            let took_ms = record.now_ms() - sent_ms;
            match &reply {
                Ok(reply) => record.line(&format!("client: request {id}: {}", reply.describe())),
                Err(_) => record.line(&format!(
                    "client: request {id}: no answer after {took_ms} ms"
                )),
            }
            let status = reply
                .ok()
                .filter(|reply| reply.complete)
                .map(|reply| reply.status);
            all.borrow_mut().push((status, took_ms));
        }));
    }
    for task in tasks {
        task.await?;
    }
    for daemon in daemons {
        daemon.end().await;
    }
    let all = all.borrow();
    ensure!(all.len() == REQUESTS as usize, "a client had no connection");
    let served = all
        .iter()
        .filter(|(status, _)| *status == Some(200))
        .count();
    let is_late = |&&(status, took_ms): &&Answer| status.is_none() || took_ms > TIMEOUT_MS;
    let overdue = all.iter().filter(is_late).count();
    let unanswered = all
        .iter()
        .filter(|&&(status, took_ms)| status.is_none() || took_ms > TIMEOUT_MS + ANSWER_MS);
    let unanswered = unanswered.count();
    record.say(&format!(
        "{} requests, {served} served, {} ran at a server; {overdue} unanswered at the route's \
         timeout of {TIMEOUT_MS} ms, {unanswered} of them also {ANSWER_MS} ms later",
        all.len(),
        runs.borrow().len()
    ));
    if !case.trouble {
        ensure!(
            served == all.len(),
            "without the disruption all must be served"
        );
    }
    // More than half of the overdue ones, and eight or more.
    let is_broken = unanswered >= 8 && 2 * unanswered > overdue;
    Ok(if is_broken {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
