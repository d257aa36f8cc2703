//! Case 8: long answers in chunks that a small crowd reads slowly.
//!
//! Two machines with the memory of the smallest class of `mra-fleet-grown`. The platform's part is
//! played here: it ends a process that exceeds its memory and starts it again. Ordinary callers use
//! kept connections all the while.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use eyre::Result;
use review_rig::{
    Daemon, Limits, Record, Site, connect, has_trouble, head, http, main_with, open, route, unix_ms,
};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _, BufReader},
    net::{TcpListener, TcpStream},
    time::{Instant, sleep, timeout},
};

/// Memory of a machine (`memory_mb`), in MiB.
const MEMORY_MB: u64 = 120;

/// Bytes of a long answer: less than the 16 MiB that the daemon takes.
const ANSWER_BYTES: usize = 15_000_000;

/// Callers of long answers at one machine.
const CROWD: u64 = 24;

/// Pause between two of them.
const STAGGER: Duration = Duration::from_millis(100);

/// Rounds of the crowd: a process that ends three times breaks the rule.
const ROUNDS: usize = 3;

/// Time for which a crowd stays.
const STAY: Duration = Duration::from_secs(6);

/// Bytes that a slow caller reads at once, and the pause after them: 40 KB a second.
const SLOW_BYTES: usize = 4096;
const SLOW_PAUSE: Duration = Duration::from_millis(100);

#[tokio::main]
async fn main() {
    main_with(run()).await;
}

/// What the servers and the ordinary callers have seen.
#[derive(Default)]
struct Seen {
    /// Requests of ordinary callers that a server has begun to run.
    run: Mutex<BTreeMap<String, ()>>,
    /// Those of them whose connection, a kept one, ended without an answer.
    lost: [AtomicU64; 2],
    answered: AtomicU64,
}

async fn run() -> Result<bool> {
    let record = Record::create()?;
    let limits = Limits {
        memory_mb: MEMORY_MB,
        descriptors: 3075,
        drain_ms: 4000,
        config_apply_ms: 4000,
        grace_s: 8,
    };
    let mut site = Site::start(limits).await?;
    let seen = Arc::new(Seen::default());
    let listener = TcpListener::bind((site.ip(200), 0)).await?;
    site.configure(
        &[route("letter", "idempotent", "registry", 15_000, 2)],
        &[json!({"name": "registry"})],
    );
    site.register(
        "i-registry-1",
        "registry",
        listener.local_addr()?,
        64,
        "ready",
        unix_ms(),
    );
    let server_seen = seen.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let seen = server_seen.clone();
            tokio::spawn(async move { serve(stream, &seen).await });
        }
    });
    let mut first = site.start_daemon().await?;
    let mut second = site.start_daemon().await?;
    first.wait_ready().await?;
    second.wait_ready().await?;
    sleep(Duration::from_secs(2)).await;
    let began = Instant::now();
    let (ends_first, ends_second) = tokio::try_join!(
        stress(&record, &seen, &mut first, 1),
        stress(&record, &seen, &mut second, 2),
    )?;
    first.kill().await;
    second.kill().await;
    let answered = seen.answered.load(Ordering::Relaxed);
    let lost = [0, 1].map(|machine: usize| seen.lost[machine].load(Ordering::Relaxed));
    record.line(&format!(
        "ordinary requests on kept connections: {answered} answered; run by a server and cut without \
         an answer: {} at machine 1, {} at machine 2; processes ended for their memory: {ends_first} \
         times at machine 1, {ends_second} times at machine 2; {} ms",
        lost[0],
        lost[1],
        began.elapsed().as_millis()
    ));
    // The rule Fault: on two machines at least, processes end by themselves three times.
    if ends_first >= ROUNDS && ends_second >= ROUNDS {
        record.line("BROKEN: Fault");
    }
    // The rule LOST: more than three times at a machine.
    let is_broken = lost.iter().any(|&lost| lost > 3);
    record.line(if is_broken { "BROKEN: LOST" } else { "held" });
    Ok(!is_broken)
}

/// Brings the crowd to one machine in rounds, and plays the platform there; returns how often the
/// process was ended for its memory.
async fn stress(
    record: &Record,
    seen: &Arc<Seen>,
    daemon: &mut Daemon,
    number: usize,
) -> Result<usize> {
    let mut ends = 0;
    for round in 1..=ROUNDS {
        let stop = Arc::new(AtomicBool::new(false));
        let ordinary: Vec<_> = (0..4)
            .map(|caller| {
                let (seen, stop, front) = (seen.clone(), stop.clone(), daemon.front);
                let record = record.clone();
                let name = format!("m{number}r{round}c{caller}");
                tokio::spawn(async move {
                    call_on_kept_connection(front, &name, number - 1, &seen, &stop, &record).await;
                })
            })
            .collect();
        let crowd: Vec<_> = (0..CROWD)
            .map(|caller| {
                let (front, record) = (daemon.front, record.clone());
                let name = format!("m{number}r{round}s{caller}");
                let delay = STAGGER * u32::try_from(caller).unwrap_or(0);
                tokio::spawn(async move {
                    sleep(delay).await;
                    record.line(&format!("long answer {name}: asked for"));
                    let ended = read_long_answer(front, &name).await;
                    record.line(&format!("long answer {name}: {ended}"));
                })
            })
            .collect();
        let process = daemon.id()?;
        let until = Instant::now() + STAY;
        let mut most_kb = 0;
        let mut exceeded = false;
        while Instant::now() < until {
            let held_kb = anonymous_kb(process);
            most_kb = most_kb.max(held_kb);
            if held_kb > MEMORY_MB * 1024 {
                exceeded = true;
                break;
            }
            sleep(Duration::from_millis(10)).await;
        }
        record.line(&format!(
            "machine {number} round {round}: process {process} held {most_kb} kB of its own, limit {} kB{}",
            MEMORY_MB * 1024,
            if exceeded { ": the platform ends it" } else { "" }
        ));
        if exceeded {
            ends += 1;
            daemon.kill().await;
        }
        stop.store(true, Ordering::Relaxed);
        for task in crowd {
            task.abort();
        }
        for task in ordinary {
            let _ = timeout(Duration::from_secs(3), task).await;
        }
        if exceeded {
            sleep(Duration::from_millis(500)).await;
            daemon.restart()?;
            daemon.wait_ready().await?;
            sleep(Duration::from_secs(1)).await;
        }
    }
    Ok(ends)
}

/// Returns the memory of a process that is its own: no program text and nothing of the kernel's.
fn anonymous_kb(process: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("RssAnon:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}

/// Requests a long answer and reads it, slowly if the case has its trouble.
async fn read_long_answer(front: std::net::SocketAddr, name: &str) -> String {
    let outcome = async {
        let mut stream = connect(front).await?;
        let request = head("GET", "/letter/long", name, 14_000, "");
        stream.write_all(request.as_bytes()).await?;
        let mut buffer = vec![0; if has_trouble() { SLOW_BYTES } else { 64 * 1024 }];
        let mut read_bytes = 0;
        let mut status = String::new();
        loop {
            let count = stream.read(&mut buffer).await?;
            if count == 0 {
                break;
            }
            if read_bytes == 0 {
                status = String::from_utf8_lossy(&buffer[..count.min(12)]).into_owned();
            }
            read_bytes += count;
            if read_bytes > ANSWER_BYTES {
                break;
            }
            if has_trouble() {
                sleep(SLOW_PAUSE).await;
            }
        }
        eyre::Ok(format!("{status}, {read_bytes} bytes"))
    };
    outcome
        .await
        .unwrap_or_else(|error| format!("ended: {error}"))
}

/// Sends one short request after the other on one connection until it is closed.
async fn call_on_kept_connection(
    front: std::net::SocketAddr,
    name: &str,
    machine: usize,
    seen: &Seen,
    stop: &AtomicBool,
    record: &Record,
) {
    let Ok(mut stream) = open(front).await else {
        return;
    };
    for number in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let id = format!("{name}n{number}");
        let request = head("GET", "/letter/short", &id, 5_000, "");
        if stream.write_all(request.as_bytes()).await.is_err() {
            return;
        }
        match timeout(Duration::from_secs(5), http::read(&mut stream)).await {
            Ok(Ok(Some(answer))) if answer.complete => {
                seen.answered.fetch_add(1, Ordering::Relaxed);
            }
            _ => {
                let is_run = seen
                    .run
                    .lock()
                    .is_ok_and(|mut run| run.remove(&id).is_some());
                record.line(&format!(
                    "ordinary request {id}: run by the server: {is_run}, no answer, connection closed"
                ));
                // The first request of a connection doesn't count: the connection isn't a kept one.
                seen.lost[machine].fetch_add(u64::from(is_run && number > 0), Ordering::Relaxed);
                return;
            }
        }
    }
}

/// Sound server: a long answer in chunks, or a short one after 100 ms.
async fn serve(stream: TcpStream, seen: &Seen) {
    let mut stream = BufReader::new(stream);
    while let Ok(Some(request)) = http::read(&mut stream).await {
        let id = request.header("request-id").unwrap_or_default().to_owned();
        let head = format!("request-id: {id}\r\nresponse-stamp: stamp.{id}\r\n");
        let is_long = request.start_line_word(1).ends_with("/long");
        let sent = if is_long {
            send_long_answer(&mut stream, &head).await
        } else {
            if let Ok(mut run) = seen.run.lock() {
                run.insert(id, ());
            }
            sleep(Duration::from_millis(100)).await;
            http::write_response(&mut stream, 200, &head, "short").await
        };
        if sent.is_err() {
            return;
        }
    }
}

async fn send_long_answer(stream: &mut BufReader<TcpStream>, head: &str) -> std::io::Result<()> {
    let head = format!("HTTP/1.1 200 OK\r\n{head}transfer-encoding: chunked\r\n\r\n");
    stream.write_all(head.as_bytes()).await?;
    let piece = vec![b'x'; 16_000];
    let mut left = ANSWER_BYTES;
    while left > 0 {
        let size = left.min(piece.len());
        stream.write_all(format!("{size:x}\r\n").as_bytes()).await?;
        stream.write_all(&piece[..size]).await?;
        stream.write_all(b"\r\n").await?;
        left -= size;
    }
    stream.write_all(b"0\r\n\r\n").await
}
