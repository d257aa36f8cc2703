//! Case 9: callers that read a long answer slowly but steadily, in calm.
//!
//! One machine of the largest class of `mra-fleet-grown`, ordinary callers on kept connections, and
//! five callers that each read at 8 Mbit/s without a pause.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use eyre::{Result, eyre};
use review_rig::{
    Limits, Record, Site, connect_as_over_ethernet, has_trouble, head, http, main_with, open,
    route, unix_ms,
};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _, BufReader},
    net::{TcpListener, TcpStream},
    time::{Instant, sleep, timeout},
};

/// Bytes of a long answer.
const ANSWER_BYTES: usize = 14_000_000;

/// Bytes that a steady caller reads in a second: 14 s for an answer, 1 s less than its deadline.
const STEADY_BYTES_PER_S: usize = 1_000_000;

/// Deadline and the route's timeout: those of `placement-letter`.
const DEADLINE_MS: u64 = 15_000;

/// Callers of long answers; more than three have to be cut to break the rule.
const READERS: u64 = 5;

/// Ordinary callers on kept connections.
const ORDINARY: u64 = 20;

#[tokio::main]
async fn main() {
    main_with(run()).await;
}

async fn run() -> Result<bool> {
    let record = Record::create()?;
    let limits = Limits {
        memory_mb: 512,
        descriptors: 8192,
        drain_ms: 4000,
        config_apply_ms: 4000,
        grace_s: 8,
    };
    let mut site = Site::start(limits).await?;
    let listener = TcpListener::bind((site.ip(200), 0)).await?;
    site.configure(
        &[route("letter", "idempotent", "registry", DEADLINE_MS, 2)],
        &[json!({"name": "registry"})],
    );
    let address = listener.local_addr()?;
    site.register("i-registry-1", "registry", address, 64, "ready", unix_ms());
    let server_record = record.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let record = server_record.clone();
            tokio::spawn(async move { serve(stream, &record).await });
        }
    });
    let mut daemon = site.start_daemon().await?;
    daemon.wait_ready().await?;
    sleep(Duration::from_secs(2)).await;
    let (answered, failed) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let ordinary: Vec<_> = (0..ORDINARY)
        .map(|caller| {
            let (answered, failed) = (answered.clone(), failed.clone());
            let front = daemon.front;
            tokio::spawn(async move { call(front, caller, &answered, &failed).await })
        })
        .collect();
    let readers: Vec<_> = (0..READERS)
        .map(|reader| {
            let (front, record) = (daemon.front, record.clone());
            tokio::spawn(async move { read_long_answer(front, reader, &record).await })
        })
        .collect();
    let mut cut = 0;
    for reader in readers {
        cut += u64::from(!reader.await??);
    }
    for task in ordinary {
        task.abort();
    }
    let ended = daemon.ended()?;
    daemon.kill().await;
    record.line(&format!(
        "long answers on kept connections cut: {cut} of {READERS}; short ones: {} answered, {} not; \
         process ended by itself: {ended:?}",
        answered.load(Ordering::Relaxed),
        failed.load(Ordering::Relaxed)
    ));
    // The rule: more than three times.
    let is_broken = cut > 3;
    record.line(if is_broken { "BROKEN: LOST" } else { "held" });
    Ok(!is_broken)
}

/// Makes a short request, then one for a long answer on the same connection, and reads it; returns
/// whether all of it came.
async fn read_long_answer(front: SocketAddr, reader: u64, record: &Record) -> Result<bool> {
    let mut stream = BufReader::new(connect_as_over_ethernet(front).await?);
    let first = head(
        "GET",
        "/letter/short",
        &format!("first-{reader}"),
        DEADLINE_MS,
        "",
    );
    stream.write_all(first.as_bytes()).await?;
    let answer = http::read(&mut stream).await?;
    answer.ok_or_else(|| eyre!("no first answer"))?;
    let id = format!("long-{reader}");
    let began = Instant::now();
    record.line(&format!("caller sends {id} on its kept connection"));
    let request = head("GET", "/letter/long", &id, DEADLINE_MS, "");
    stream.write_all(request.as_bytes()).await?;
    let answer = http::read_head(&mut stream).await?;
    let answer = answer.ok_or_else(|| eyre!("no long answer"))?;
    let mut buffer = vec![0; 20_000];
    let mut read_bytes = 0;
    let mut longest_pause = Duration::ZERO;
    let mut last = Instant::now();
    while read_bytes < ANSWER_BYTES {
        if has_trouble() {
            let due_ms = (read_bytes * 1000 / STEADY_BYTES_PER_S) as u64;
            sleep(Duration::from_millis(due_ms).saturating_sub(began.elapsed())).await;
        }
        let count = stream.read(&mut buffer).await.unwrap_or(0);
        longest_pause = longest_pause.max(last.elapsed());
        last = Instant::now();
        if count == 0 {
            break;
        }
        read_bytes += count;
    }
    let is_whole = read_bytes == ANSWER_BYTES;
    record.line(&format!(
        "caller of {id}: status {}, {read_bytes} of {ANSWER_BYTES} bytes {} ms after it was sent, \
         longest pause between two reads {} ms{}",
        answer.start_line_word(1),
        began.elapsed().as_millis(),
        longest_pause.as_millis(),
        if is_whole {
            ""
        } else {
            ": the connection was closed"
        }
    ));
    Ok(is_whole)
}

/// Sends a short request a second on one connection.
async fn call(front: SocketAddr, caller: u64, answered: &AtomicU64, failed: &AtomicU64) {
    let Ok(mut stream) = open(front).await else {
        return;
    };
    for number in 0.. {
        let id = format!("short-{caller}-{number}");
        let request = head("GET", "/letter/short", &id, 4_000, "");
        let sent = stream.write_all(request.as_bytes()).await.is_ok();
        let answer = timeout(Duration::from_secs(4), http::read(&mut stream)).await;
        if !sent || !matches!(answer, Ok(Ok(Some(answer))) if answer.start_line_word(1) == "200") {
            failed.fetch_add(1, Ordering::Relaxed);
            return;
        }
        answered.fetch_add(1, Ordering::Relaxed);
        sleep(Duration::from_secs(1)).await;
    }
}

/// Sound server: answers at once, with a length.
async fn serve(stream: TcpStream, record: &Record) {
    let mut stream = BufReader::new(stream);
    while let Ok(Some(request)) = http::read(&mut stream).await {
        let id = request.header("request-id").unwrap_or_default().to_owned();
        let head = format!("request-id: {id}\r\nresponse-stamp: stamp.{id}\r\n");
        let is_long = request.start_line_word(1).ends_with("/long");
        let body = if is_long {
            "x".repeat(ANSWER_BYTES)
        } else {
            "short".to_owned()
        };
        if is_long {
            record.line(&format!("server runs {id}"));
        }
        if http::write_response(&mut stream, 200, &head, &body)
            .await
            .is_err()
        {
            return;
        }
        if is_long {
            record.line(&format!("server has sent all of its answer to {id}"));
        }
    }
}
