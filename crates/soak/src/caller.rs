use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};
use tokio::{
    io::{AsyncWriteExt as _, BufReader},
    net::TcpStream,
    task::JoinHandle,
    time::{sleep, timeout},
};

use crate::{
    http::{self, Message},
    ledger::{Kind, Ledger},
    store::Store,
    upstream::EVENTS,
};

/// Time for which a caller waits; longer than the timeout of every route.
const PATIENCE: Duration = Duration::from_secs(6);

/// Callers at work.
pub struct Callers {
    ended: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<()>>,
}

impl Callers {
    pub async fn stop(self) {
        self.ended.store(true, Ordering::Release);
        for task in self.tasks {
            let _ = task.await;
        }
    }
}

/// Starts callers, each of which keeps a connection open as long as its daemon does.
pub fn start(
    count: usize,
    daemons: &[SocketAddr],
    ledger: &Arc<Ledger>,
    store: &Store,
    seed: u64,
) -> Callers {
    let ended = Arc::new(AtomicBool::new(false));
    let tasks = (0..count).map(|number| {
        let caller = Caller {
            daemons: daemons.to_vec(),
            ledger: ledger.clone(),
            store: store.clone(),
            rng: StdRng::seed_from_u64(seed * 1_000 + number as u64),
        };
        tokio::spawn(caller.work(number, ended.clone()))
    });
    Callers {
        tasks: tasks.collect(),
        ended: ended.clone(),
    }
}

/// Sends requests one after the other, on new connections; returns how many were served.
pub async fn serve_last(
    count: usize,
    daemons: &[SocketAddr],
    ledger: &Ledger,
    store: &Store,
) -> usize {
    let mut served = 0;
    for number in 0..count {
        let (kind, id) = (Kind::ALL[number % 3], format!("last-{number}"));
        if let Ok(stream) = TcpStream::connect(daemons[number % daemons.len()]).await {
            let mut stream = BufReader::new(stream);
            ledger.send(&id, kind);
            let generation = store.generation();
            let answer = call(&mut stream, kind, &id, generation).await;
            served += usize::from(answer.is_some_and(|answer| judge(ledger, kind, &id, &answer)));
        }
    }
    served
}

struct Caller {
    daemons: Vec<SocketAddr>,
    ledger: Arc<Ledger>,
    store: Store,
    rng: StdRng,
}

impl Caller {
    async fn work(mut self, number: usize, ended: Arc<AtomicBool>) {
        let mut open: Option<BufReader<TcpStream>> = None;
        let mut sent = 0;
        while !ended.load(Ordering::Acquire) {
            sleep(Duration::from_millis(self.rng.random_range(1..=40))).await;
            let mut stream = match open.take() {
                Some(stream) => stream,
                None => match self.connect().await {
                    Some(stream) => stream,
                    None => continue,
                },
            };
            sent += 1;
            let kind = Kind::ALL[self.rng.random_range(0..3)];
            let id = format!("c{number}-{sent}");
            self.ledger.send(&id, kind);
            let patience = if self.rng.random_range(0..10) == 0 {
                // Some callers leave before their answer is there.
                Duration::from_millis(self.rng.random_range(1..=30))
            } else {
                PATIENCE
            };
            let generation = self.store.generation();
            let answer = timeout(patience, call(&mut stream, kind, &id, generation)).await;
            let Ok(Some(answer)) = answer else { continue };
            judge(&self.ledger, kind, &id, &answer);
            let closes = answer
                .header("connection")
                .is_some_and(|value| value.contains("close"));
            if answer.whole && !closes {
                open = Some(stream);
            }
        }
    }

    async fn connect(&mut self) -> Option<BufReader<TcpStream>> {
        let daemon = self.daemons[self.rng.random_range(0..self.daemons.len())];
        let connected = timeout(Duration::from_secs(1), TcpStream::connect(daemon)).await;
        Some(BufReader::new(connected.ok()?.ok()?))
    }
}

async fn call(
    stream: &mut BufReader<TcpStream>,
    kind: Kind,
    id: &str,
    generation: u64,
) -> Option<Message> {
    let path = kind.path();
    let request = format!(
        "POST /g{generation}/{path}/x HTTP/1.1\r\nhost: soak.example\r\nrequest-id: {id}\r\n\
         deadline-ms: 5000\r\ncontent-length: 4\r\n\r\nbody"
    );
    stream.write_all(request.as_bytes()).await.ok()?;
    http::read(stream).await.ok()?
}

/// Checks an answer; returns whether it serves the request.
fn judge(ledger: &Ledger, kind: Kind, id: &str, answer: &Message) -> bool {
    match answer.word(1) {
        "200" if !answer.whole => false,
        "200" => {
            let expected = match kind {
                Kind::Stream => {
                    let events = (1..=EVENTS).map(|event| format!("id: {event}\ndata: {id}\n\n"));
                    events.collect::<Vec<_>>().concat()
                }
                Kind::Once | Kind::Again => format!("answer to {id}"),
            };
            if answer.body != expected || answer.header("response-stamp").is_none() {
                ledger.fault(format!("{id}: answer {:?}", answer.body));
            }
            ledger.serve(id);
            true
        }
        "503" | "429" | "408" | "421" => {
            ledger.refuse(id);
            false
        }
        // A daemon that has not heard of the newest path yet.
        "404" | "500" | "502" | "504" => false,
        other => {
            ledger.fault(format!("{id}: status {other:?}"));
            false
        }
    }
}
