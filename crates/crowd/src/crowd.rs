use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{
        TcpStream,
        tcp::{ReadHalf, WriteHalf},
    },
    task::JoinSet,
    time::sleep,
};

use crate::Script;

/// Interval at which the callers of a crowd come.
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(2);

/// Pause of a caller before it opens its next connection.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);

/// Callers that follow the same script, again and again when they are turned away; dropping this
/// ends them.
#[derive(Debug)]
pub struct Crowd {
    _callers: JoinSet<()>,
}

impl Crowd {
    /// Starts callers that come one after the other.
    #[must_use]
    pub fn start(address: SocketAddr, script: &Script, callers: usize) -> Self {
        Self::start_at(address, script, callers, ARRIVAL_INTERVAL)
    }

    /// Starts callers that come all at once.
    #[must_use]
    pub fn burst(address: SocketAddr, script: &Script, callers: usize) -> Self {
        Self::start_at(address, script, callers, Duration::ZERO)
    }

    /// Starts callers that each send a new request, read its answer, up to this many bytes at this
    /// interval, until the connection is closed, and come again.
    #[must_use]
    pub fn of_requests<F>(
        address: SocketAddr,
        callers: usize,
        (bytes, interval): (usize, Duration),
        request: F,
    ) -> Self
    where
        F: Fn() -> Vec<u8> + Send + Sync + 'static,
    {
        Self::start_each(callers, ARRIVAL_INTERVAL, move || {
            let script = Script::new(request()).with_reads(bytes, interval);
            (address, script.into())
        })
    }

    fn start_at(
        address: SocketAddr,
        script: &Script,
        callers: usize,
        arrival_interval: Duration,
    ) -> Self {
        let script = Arc::new(script.clone());
        Self::start_each(callers, arrival_interval, move || (address, script.clone()))
    }

    /// Starts callers, each of which asks for its script before it opens a connection.
    fn start_each<F>(callers: usize, arrival_interval: Duration, next: F) -> Self
    where
        F: Fn() -> (SocketAddr, Arc<Script>) + Send + Sync + 'static,
    {
        let next = Arc::new(next);
        let mut tasks = JoinSet::new();
        let mut arrival = Duration::ZERO;
        for _ in 0..callers {
            let next = next.clone();
            tasks.spawn(async move {
                sleep(arrival).await;
                loop {
                    let (address, script) = next();
                    if let Ok(stream) = TcpStream::connect(address).await {
                        follow(stream, &script).await;
                    }
                    sleep(RECONNECT_PAUSE).await;
                }
            });
            arrival += arrival_interval;
        }
        Self { _callers: tasks }
    }
}

/// Follows a script until the other side closes the connection.
async fn follow(mut stream: TcpStream, script: &Script) {
    let (reading, writing) = stream.split();
    tokio::select! {
        () = write(writing, script) => {}
        () = read(reading, script) => {}
    }
}

/// Ends when the connection is closed.
async fn write(mut stream: WriteHalf<'_>, script: &Script) {
    if stream.write_all(&script.opening).await.is_err() {
        return;
    }
    if script.filler.is_empty() {
        std::future::pending::<()>().await;
    }
    while stream.write_all(&script.filler).await.is_ok() {}
}

/// Ends when the connection is closed; it isn't noticed while nothing is read.
async fn read(mut stream: ReadHalf<'_>, script: &Script) {
    let Some((bytes, interval)) = script.reads else {
        return std::future::pending().await;
    };
    let mut piece = vec![0; bytes];
    while stream.read(&mut piece).await.is_ok_and(|count| count > 0) {
        sleep(interval).await;
    }
}
