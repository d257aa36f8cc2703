//! A machine gets SIGTERM while requests wait in it for a free slot of a server.

use std::{cell::RefCell, rc::Rc, time::Duration};

use eyre::{Result, ensure};
use rustix::process::Signal;
use tokio::{
    task::spawn_local,
    time::{Instant, sleep, sleep_until},
};

use crate::{
    Case, Verdict,
    client::{Connection, Reply},
    daemon::Daemon,
    server::{self, Runs},
    site,
};

/// Time from the start of the machines to the first request (`DEPLOY.md`, the sheets).
const LEAD: Duration = Duration::from_secs(10);

/// Model servers and their slots, as many as on the large deployment.
const ENGINES: usize = 2;
const SLOTS: u32 = 12;

/// Photo diagnoses: one each 240 ms, a stream of 57 events and 13.4 s.
const PHOTOS: usize = 24;
const PHOTO_INTERVAL: Duration = Duration::from_millis(240);
const PHOTO_WORK: &str = "57x235";

/// Catalogue comparisons: one each 300 ms, a stream of 40 events and 2.4 s.
const CATALOGUES: usize = 8;
const CATALOGUE_INTERVAL: Duration = Duration::from_millis(300);
const CATALOGUE_WORK: &str = "40x60";

/// Deadline of both, and timeout of their routes.
const DEADLINE_MS: u64 = 15_000;

/// Time from the first photo to SIGTERM.
const TERM_AFTER: Duration = Duration::from_millis(5_900);

/// `grace_s`: time from SIGTERM to SIGKILL.
const GRACE_MS: u64 = 8_000;

/// `loss_slack_ms`.
const LOSS_SLACK_MS: u64 = 200;

/// Request with what came of it.
struct Sent {
    id: String,
    sent_ms: u64,
    ended_ms: u64,
    reply: Reply,
}

pub async fn run(case: &Case) -> Result<Verdict> {
    let record = &case.record;
    let store = site::start_store().await?;
    let runs = Runs::default();
    for number in 0..ENGINES {
        let id = format!("i-engine{number}");
        server::start(&store, &id, site::ENGINES, SLOTS, &runs, record).await?;
    }
    server::start(&store, "i-stock0", site::INVENTORY, 6, &runs, record).await?;
    let mut first = Daemon::start(&case.root, "edge-costa-norte-1", store.address, record)?;
    let second = Daemon::start(&case.root, "edge-costa-norte-2", store.address, record)?;
    sleep(LEAD).await;
    first.wait_ready().await?;
    second.wait_ready().await?;

    // The clients have connections to the first machine, which they have used before.
    let mut connections = Vec::new();
    for number in 0..PHOTOS + CATALOGUES {
        let mut connection = Connection::open(first.front).await?;
        let request = site::plain_request("consulta-stock", &format!("warm{number:012x}"));
        let reply = connection.exchange(&request).await;
        ensure!(reply.status == 200, "warm-up: {}", reply.describe());
        connections.push(connection);
    }
    let begin = Instant::now();
    let all: Rc<RefCell<Vec<Sent>>> = Rc::default();
    let mut tasks = Vec::new();
    for (number, mut connection) in connections.into_iter().enumerate() {
        let (at, route, work) = if number < PHOTOS {
            let number = u32::try_from(number)?;
            (begin + PHOTO_INTERVAL * number, "foto-goteo", PHOTO_WORK)
        } else {
            let number = u32::try_from(number - PHOTOS)?;
            let at = begin + PHOTO_INTERVAL * u32::try_from(PHOTOS)? + CATALOGUE_INTERVAL * number;
            (at, "catalogo-cruzado", CATALOGUE_WORK)
        };
        let (record, all) = (record.clone(), all.clone());
        tasks.push(spawn_local(async move {
            sleep_until(at).await;
            let id = format!("{route}-{number}");
            let body = vec![b'b'; 2_000];
            let head = site::stream_head(route, work, &id, DEADLINE_MS, body.len());
            let is_sent = connection.send(head.as_bytes()).await && connection.send(&body).await;
            let sent_ms = record.now_ms();
            record.line(&format!("client: request {id} sent whole: {is_sent}"));
            let reply = connection.read().await;
            record.line(&format!("client: request {id}: {}", reply.describe()));
            let ended_ms = record.now_ms();
            all.borrow_mut().push(Sent {
                id,
                sent_ms,
                ended_ms,
                reply,
            });
        }));
    }
    let mut term_ms = None;
    if case.trouble {
        sleep_until(begin + TERM_AFTER).await;
        record.line("operator: SIGTERM to edge-costa-norte-1");
        term_ms = Some(record.now_ms());
        first.signal(Signal::TERM)?;
        sleep(Duration::from_millis(GRACE_MS)).await;
        if !first.has_ended() {
            record.line("operator: SIGKILL to edge-costa-norte-1");
            first.signal(Signal::KILL)?;
        }
    }
    for task in tasks {
        task.await?;
    }
    first.end().await;
    second.end().await;
    let all = all.borrow();
    let whole = all.iter().filter(|sent| sent.reply.complete).count();
    record.say(&format!("{} requests, {whole} answered whole", all.len()));
    let mut lost = 0;
    for sent in all.iter().filter(|sent| !sent.reply.complete) {
        let excuse = excuse(sent, term_ms, &runs);
        let text = excuse.unwrap_or("LOST: no excuse of the rule applies");
        record.say(&format!(
            "request {}: read whole, {} after {} ms: {text}",
            sent.id,
            sent.reply.describe(),
            sent.ended_ms - sent.sent_ms
        ));
        lost += usize::from(excuse.is_none());
    }
    if !case.trouble {
        ensure!(
            whole == all.len(),
            "without the disruption all must be answered"
        );
    }
    Ok(if lost > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Returns the excuse of the rule for a request whose connection ended without a whole answer.
fn excuse(sent: &Sent, term_ms: Option<u64>, runs: &Runs) -> Option<&'static str> {
    let runs = runs.borrow();
    let mut runs = runs.iter().filter(|run| run.request_id == sent.id);
    let took_ms = sent.ended_ms - sent.sent_ms;
    if took_ms >= DEADLINE_MS {
        return Some("excused, the deadline was reached");
    }
    let term_ms = term_ms?;
    let last_sixth_ms = term_ms + GRACE_MS * 5 / 6;
    let at_work = runs.any(|run| {
        run.began_ms.is_some()
            && run
                .ended
                .is_none_or(|(ended_ms, _)| ended_ms >= last_sixth_ms)
    });
    if at_work && sent.sent_ms <= term_ms + 3_000 {
        return Some("excused, its server was still at work in the last sixth of grace_s");
    }
    (took_ms <= LOSS_SLACK_MS).then_some("excused, within loss_slack_ms and not passed on")
}
