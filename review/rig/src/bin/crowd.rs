//! Case 10: a crowd whose bodies of legal size stop just short of their end and stay open.
//!
//! One machine of the smallest class of `mra-fleet-grown`. Eight ordinary callers open a new
//! connection again and again, and the platform asks the machine whether it is ready.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use eyre::{Result, eyre};
use review_rig::{
    Limits, Record, Site, connect, has_trouble, head, http, main_with, open, route, unix_ms,
};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _, BufReader},
    net::{TcpListener, TcpStream},
    time::{Instant, sleep, timeout},
};

/// Callers whose bodies stop short.
const CROWD: u64 = 800;

/// Bytes of a body: requests of `full-history-review` have 17,000 on average and 100,000 at most.
const BODY_BYTES: usize = 60_000;

/// Ordinary callers; the rule speaks of seven or more.
const ORDINARY: usize = 8;

/// Pause of an ordinary caller between two tries.
const TRY_PAUSE: Duration = Duration::from_millis(250);

/// The deployment's `contact_ms`.
const CONTACT: Duration = Duration::from_millis(5_000);

/// Time for which ordinary callers try, after the crowd has come.
const WATCHED: Duration = Duration::from_secs(12);

#[tokio::main]
async fn main() {
    main_with(run()).await;
}

/// Results of the tries of ordinary callers, with the time since the start.
type Tries = Arc<Mutex<Vec<(Duration, usize, bool, &'static str)>>>;

async fn run() -> Result<bool> {
    let record = Record::create()?;
    let limits = Limits {
        memory_mb: 120,
        descriptors: 3075,
        drain_ms: 4000,
        config_apply_ms: 4000,
        grace_s: 8,
    };
    let mut site = Site::start(limits).await?;
    let listener = TcpListener::bind((site.ip(200), 0)).await?;
    site.configure(
        &[route("review", "idempotent", "registry", 12_000, 2)],
        &[json!({"name": "registry"})],
    );
    let address = listener.local_addr()?;
    site.register("i-registry-1", "registry", address, 64, "ready", unix_ms());
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream));
        }
    });
    let mut daemon = site.start_daemon().await?;
    daemon.wait_ready().await?;
    sleep(Duration::from_secs(2)).await;
    let (complete, opened) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let crowd: Vec<_> = (0..CROWD)
        .map(|caller| {
            let (front, complete, opened) = (daemon.front, complete.clone(), opened.clone());
            tokio::spawn(async move {
                sleep(Duration::from_millis(2 * caller)).await;
                let _ = send_short(front, caller, &complete, &opened).await;
            })
        })
        .collect();
    sleep(Duration::from_millis(2 * CROWD + 400)).await;
    record.line(&format!(
        "the crowd has come: {} of {CROWD} connections, each with {BODY_BYTES} bytes declared and {} \
         sent; {} were answered",
        opened.load(Ordering::Relaxed),
        BODY_BYTES - usize::from(has_trouble()),
        complete.load(Ordering::Relaxed)
    ));
    let tries: Tries = Arc::default();
    let began = Instant::now();
    let ordinary: Vec<_> = (0..ORDINARY)
        .map(|caller| {
            let (front, tries) = (daemon.front, tries.clone());
            tokio::spawn(async move {
                while began.elapsed() < WATCHED {
                    let at = began.elapsed();
                    let id = format!("ordinary-{caller}-{}", at.as_millis());
                    let outcome = try_once(front, &id).await;
                    if let Ok(mut tries) = tries.lock() {
                        tries.push((at, caller, outcome == "200", outcome));
                    }
                    sleep(TRY_PAUSE).await;
                }
            })
        })
        .collect();
    let mut ready_answers = (0, 0);
    while began.elapsed() < WATCHED {
        let is_ready = is_ready(daemon.ready).await;
        ready_answers.0 += u32::from(is_ready);
        ready_answers.1 += u32::from(!is_ready);
        sleep(Duration::from_secs(1)).await;
    }
    for task in ordinary {
        task.await?;
    }
    let ended = daemon.ended()?;
    for task in crowd {
        task.abort();
    }
    daemon.kill().await;
    let mut tries = tries.lock().map_err(|_| eyre!("poisoned"))?.clone();
    tries.sort_by_key(|entry| entry.0);
    for (at, caller, _, outcome) in &tries {
        record.line(&format!(
            "ordinary caller {caller} at {} ms after the crowd: {outcome}",
            at.as_millis()
        ));
    }
    // The longest span in which no try of any caller was served, and the callers that tried in it.
    let (mut longest, mut callers) = (Duration::ZERO, 0);
    let mut since = Duration::ZERO;
    let mut tried = Vec::new();
    for (at, caller, served, _) in &tries {
        if *served {
            since = *at;
            tried.clear();
            continue;
        }
        if !tried.contains(caller) {
            tried.push(*caller);
        }
        if *at - since > longest {
            (longest, callers) = (*at - since, tried.len());
        }
    }
    let served = tries.iter().filter(|entry| entry.2).count();
    record.line(&format!(
        "{served} of {} tries on new connections were served; longest span without one {} ms, in which \
         {callers} callers tried; ready: {} times yes, {} times no; process ended by itself: {ended:?}",
        tries.len(),
        longest.as_millis(),
        ready_answers.0,
        ready_answers.1
    ));
    let is_broken = longest >= CONTACT && callers >= 7 && ready_answers.1 == 0;
    record.line(if is_broken { "BROKEN: RECOVER" } else { "held" });
    Ok(!is_broken)
}

/// Sends a body, without its last byte if the case has its trouble, and stays.
async fn send_short(
    front: SocketAddr,
    caller: u64,
    complete: &AtomicU64,
    opened: &AtomicU64,
) -> Result<()> {
    let mut stream = connect(front).await?;
    opened.fetch_add(1, Ordering::Relaxed);
    let further = format!("Content-Length: {BODY_BYTES}\r\n");
    let request = head(
        "POST",
        "/review/x",
        &format!("crowd-{caller}"),
        12_000,
        &further,
    );
    stream.write_all(request.as_bytes()).await?;
    let sent_bytes = BODY_BYTES - usize::from(has_trouble());
    stream.write_all(&vec![b'b'; sent_bytes]).await?;
    let mut answer = [0; 12];
    stream.read_exact(&mut answer).await?;
    if answer.ends_with(b"200") {
        complete.fetch_add(1, Ordering::Relaxed);
    }
    sleep(Duration::from_secs(60)).await;
    Ok(())
}

/// Makes one request on a new connection.
async fn try_once(front: SocketAddr, id: &str) -> &'static str {
    let outcome = async {
        let mut stream = open(front).await?;
        stream
            .write_all(head("GET", "/review/y", id, 4_000, "").as_bytes())
            .await?;
        eyre::Ok(http::read(&mut stream).await?)
    };
    match timeout(Duration::from_secs(1), outcome).await {
        Err(_) => "no answer within 1 s",
        Ok(Err(_)) => "connection failed or was reset",
        Ok(Ok(None)) => "connection closed without an answer",
        Ok(Ok(Some(answer))) if answer.start_line_word(1) == "200" => "200",
        Ok(Ok(Some(_))) => "another status",
    }
}

async fn is_ready(ready: SocketAddr) -> bool {
    let outcome = async {
        let mut stream = open(ready).await?;
        let request = "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n";
        stream.write_all(request.as_bytes()).await?;
        eyre::Ok(http::read(&mut stream).await?)
    };
    let answer = timeout(Duration::from_secs(1), outcome).await;
    matches!(answer, Ok(Ok(Some(answer))) if answer.start_line_word(1) == "200")
}

/// Sound server.
async fn serve(stream: TcpStream) {
    let mut stream = BufReader::new(stream);
    while let Ok(Some(request)) = http::read(&mut stream).await {
        let id = request.header("request-id").unwrap_or_default();
        let head = format!("request-id: {id}\r\nresponse-stamp: stamp.{id}\r\n");
        if http::write_response(&mut stream, 200, &head, "done")
            .await
            .is_err()
        {
            return;
        }
    }
}
