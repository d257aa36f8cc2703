//! Server of the platform: registers itself, runs requests in slots and answers them.
//!
//! The last part of a request's path says how it is served: `57x230` is a stream of 57 events,
//! 230 ms apart; `15` is an answer of 800 bytes after 15 ms of work.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use emulator::{RowKey, Store};
use eyre::Result;
use serde_json::json;
use tokio::{
    io::{AsyncBufReadExt as _, AsyncReadExt as _, AsyncWriteExt as _, BufReader},
    net::{TcpListener, TcpStream, tcp::OwnedReadHalf, tcp::OwnedWriteHalf},
    sync::Semaphore,
    task::spawn_local,
    time::{Instant, sleep, timeout_at},
};

use crate::record::Record;

/// Interval between two reports of a server to the store.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// What a server did with a request.
#[derive(Debug, Clone)]
pub struct Run {
    pub request_id: String,
    /// Time at which it began to work on it.
    pub began_ms: Option<u64>,
    /// Time at which its work ended, and whether it was done then.
    pub ended: Option<(u64, bool)>,
}

/// Log of all servers.
pub type Runs = Rc<RefCell<Vec<Run>>>;

struct Shared {
    id: String,
    /// Time from the start of a run to the first byte of its answer.
    prefill: Duration,
    slots: Semaphore,
    queue_max: u32,
    queued: Cell<u32>,
    stamps: Cell<u32>,
    runs: Runs,
    record: Record,
}

/// Time that a model server reads a long prompt.
const PREFILL: Duration = Duration::from_secs(1);

/// Starts a server, which runs until the process ends.
pub async fn start(
    store: &Store,
    id: &str,
    service: &str,
    slots: u32,
    runs: &Runs,
    record: &Record,
) -> Result<()> {
    start_server(store, id, service, slots, Duration::ZERO, runs, record).await
}

/// Starts a model server that gets long prompts.
pub async fn start_slow(
    store: &Store,
    id: &str,
    service: &str,
    slots: u32,
    runs: &Runs,
    record: &Record,
) -> Result<()> {
    start_server(store, id, service, slots, PREFILL, runs, record).await
}

async fn start_server(
    store: &Store,
    id: &str,
    service: &str,
    slots: u32,
    prefill: Duration,
    runs: &Runs,
    record: &Record,
) -> Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let shared = Rc::new(Shared {
        id: id.to_owned(),
        prefill,
        slots: Semaphore::new(slots as usize),
        queue_max: slots * 3,
        queued: Cell::new(0),
        stamps: Cell::new(0),
        runs: runs.clone(),
        record: record.clone(),
    });
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let shared = shared.clone();
            spawn_local(async move { shared.serve(stream).await });
        }
    });
    let (store, key, service) = (
        store.clone(),
        RowKey::new("servers", id),
        service.to_owned(),
    );
    let born = SystemTime::now().duration_since(UNIX_EPOCH)?.as_millis();
    spawn_local(async move {
        for sequence in 1_u64.. {
            let row = json!({
                "service": service, "address": address.to_string(), "zone": "costa-norte",
                "version": "v1", "slots": slots, "state": "ready", "cold_remaining_ms": 0,
                "stage": "hybrid", "models": [{"name": "m", "version": 1, "adapters": []}],
                "sequence": sequence, "born": u64::try_from(born).unwrap_or(0),
            });
            store.put(&key, &row);
            sleep(HEARTBEAT).await;
        }
    });
    Ok(())
}

/// Head of a request.
struct Head {
    method: String,
    path: String,
    headers: Vec<(String, String)>,
}

impl Head {
    fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }
}

impl Shared {
    async fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (reader, mut writer) = stream.into_split();
        let mut reader = BufReader::new(reader);
        while let Some(head) = read_head(&mut reader).await {
            let length = head
                .header("content-length")
                .and_then(|text| text.parse().ok());
            if !skip(&mut reader, length.unwrap_or(0)).await
                || !self.answer(&head, &mut reader, &mut writer).await
            {
                return;
            }
        }
    }

    /// Answers a request; returns whether the connection stays open.
    async fn answer(
        &self,
        head: &Head,
        reader: &mut BufReader<OwnedReadHalf>,
        writer: &mut OwnedWriteHalf,
    ) -> bool {
        if head.method == "GET" && head.path == "/healthz" {
            let text = format!(
                "HTTP/1.1 200 OK\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
            return writer.write_all(text.as_bytes()).await.is_ok();
        }
        let Some(request_id) = head.header("request-id").map(str::to_owned) else {
            return writer
                .write_all(
                    b"HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                )
                .await
                .is_ok();
        };
        if head
            .header("expect-instance")
            .is_some_and(|id| id != self.id)
        {
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {request_id}\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
            return writer.write_all(text.as_bytes()).await.is_ok();
        }
        let number = self.runs.borrow().len();
        self.runs.borrow_mut().push(Run {
            request_id: request_id.clone(),
            began_ms: None,
            ended: None,
        });
        self.record
            .line(&format!("server {}: request {request_id} arrives", self.id));
        let deadline_ms = head
            .header("deadline-ms")
            .and_then(|text| text.parse().ok());
        let end = Instant::now() + Duration::from_millis(deadline_ms.unwrap_or(30_000));
        let slot = if self.slots.available_permits() == 0 && self.queued.get() >= self.queue_max {
            None
        } else {
            self.queued.set(self.queued.get() + 1);
            let slot = tokio::select! {
                slot = timeout_at(end, self.slots.acquire()) => slot.ok().and_then(Result::ok),
                () = closed(reader) => {
                    self.queued.set(self.queued.get() - 1);
                    self.record.line(&format!("server {}: request {request_id} left the queue, its connection is closed", self.id));
                    return false;
                }
            };
            self.queued.set(self.queued.get() - 1);
            slot
        };
        let Some(_slot) = slot else {
            self.record.line(&format!(
                "server {}: request {request_id} turned away",
                self.id
            ));
            let text = format!(
                "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {request_id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            return writer.write_all(text.as_bytes()).await.is_ok();
        };
        self.runs.borrow_mut()[number].began_ms = Some(self.record.now_ms());
        self.record
            .line(&format!("server {}: request {request_id} runs", self.id));
        self.stamps.set(self.stamps.get() + 1);
        let stamp = format!("{}.{}", self.id, self.stamps.get());
        let done = tokio::select! {
            done = timeout_at(end, run(writer, self.prefill, &head.path, &request_id, &stamp)) => done == Ok(true),
            () = closed(reader) => false,
        };
        self.runs.borrow_mut()[number].ended = Some((self.record.now_ms(), done));
        let how = if done { "done" } else { "cut" };
        self.record
            .line(&format!("server {}: request {request_id} {how}", self.id));
        done
    }
}

/// Runs a request and writes its answer; returns whether all was written.
async fn run(
    writer: &mut OwnedWriteHalf,
    prefill: Duration,
    path: &str,
    request_id: &str,
    stamp: &str,
) -> bool {
    sleep(prefill).await;
    let work = path.rsplit('/').next().unwrap_or_default();
    let number = |text: &str| text.parse::<u64>().unwrap_or(15);
    let Some((events, gap_ms)) = work.split_once('x') else {
        sleep(Duration::from_millis(number(work))).await;
        let text = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nResponse-Stamp: {stamp}\r\nContent-Length: 800\r\n\r\n{}",
            "x".repeat(800)
        );
        return writer.write_all(text.as_bytes()).await.is_ok();
    };
    let (events, gap) = (number(events), Duration::from_millis(number(gap_ms)));
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nResponse-Stamp: {stamp}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    let mut text = head;
    for event in 1..=events {
        sleep(gap).await;
        let body = format!("id: {event}\ndata: event {event} of {events}\n\n");
        text.push_str(&format!("{:x}\r\n{body}\r\n", body.len()));
        if writer.write_all(text.as_bytes()).await.is_err() {
            return false;
        }
        text.clear();
    }
    writer.write_all(b"0\r\n\r\n").await.is_ok()
}

/// Waits until the other side closes the connection.
async fn closed(reader: &mut BufReader<OwnedReadHalf>) {
    // Callers send no request before the answer to the last one.
    let _ = reader.fill_buf().await;
}

async fn read_head(reader: &mut BufReader<OwnedReadHalf>) -> Option<Head> {
    let mut line = String::new();
    reader
        .read_line(&mut line)
        .await
        .ok()
        .filter(|&bytes| bytes > 0)?;
    let mut words = line.split(' ');
    let (method, path) = (words.next()?.to_owned(), words.next()?.to_owned());
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        reader
            .read_line(&mut line)
            .await
            .ok()
            .filter(|&bytes| bytes > 0)?;
        let Some((name, value)) = line.trim_end().split_once(':') else {
            break;
        };
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    Some(Head {
        method,
        path,
        headers,
    })
}

/// Reads and drops a body; returns whether it was whole.
async fn skip(reader: &mut BufReader<OwnedReadHalf>, mut length: usize) -> bool {
    let mut buffer = [0; 16 * 1024];
    while length > 0 {
        let most = length.min(buffer.len());
        match reader.read(&mut buffer[..most]).await {
            Ok(bytes) if bytes > 0 => length -= bytes,
            _ => return false,
        }
    }
    true
}
