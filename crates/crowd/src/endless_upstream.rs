use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
};

use tokio::{
    io::{AsyncBufReadExt as _, AsyncReadExt as _, AsyncWriteExt as _, BufReader},
    net::{TcpListener, TcpStream},
    task::JoinSet,
};

use crate::EndlessAnswer;

/// Least size of the writes in which an answer goes on.
const WRITE_BYTES: usize = 64 * 1024;

/// Header of a request whose value the upstream sends back, so that its answer is taken for one to
/// this request.
const REQUEST_ID: &str = "request-id";

/// Server that answers each request without end, until the connection is closed; dropping this ends
/// it.
#[derive(Debug)]
pub struct EndlessUpstream {
    address: SocketAddr,
    state: Arc<State>,
    _connections: JoinSet<()>,
}

#[derive(Debug)]
struct State {
    answer: EndlessAnswer,
    content_type: &'static str,
    requests: AtomicUsize,
    sent_bytes: AtomicU64,
}

impl EndlessUpstream {
    /// Starts it on a free port.
    ///
    /// # Errors
    ///
    /// Those of the system.
    pub async fn start(answer: EndlessAnswer, content_type: &'static str) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = Arc::new(State {
            answer,
            content_type,
            requests: AtomicUsize::new(0),
            sent_bytes: AtomicU64::new(0),
        });
        let mut connections = JoinSet::new();
        connections.spawn(serve(listener, state.clone()));
        Ok(Self {
            address,
            state,
            _connections: connections,
        })
    }

    /// Returns the address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of requests that were answered.
    #[must_use]
    pub fn requests(&self) -> usize {
        self.state.requests.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes that were sent.
    #[must_use]
    pub fn sent_bytes(&self) -> u64 {
        self.state.sent_bytes.load(Ordering::Relaxed)
    }
}

/// Serves all connections.
async fn serve(listener: TcpListener, state: Arc<State>) {
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        let state = state.clone();
        connections.spawn(async move {
            // The other side closes each of them.
            let _ = respond(stream, &state).await;
        });
    }
}

/// Answers the request of a connection until it is closed.
async fn respond(stream: TcpStream, state: &State) -> io::Result<()> {
    let mut stream = BufReader::new(stream);
    let request_id = read_request(&mut stream).await?;
    state.requests.fetch_add(1, Ordering::Relaxed);
    let content_type = state.content_type;
    let mut headers = format!("content-type: {content_type}\r\n");
    if let Some(id) = request_id {
        headers = format!("{headers}{REQUEST_ID}: {id}\r\nresponse-stamp: s.{id}\r\n");
    }
    let (opening, filler) = state.answer.bytes(&headers);
    let filler = filler.repeat(WRITE_BYTES.div_ceil(filler.len()));
    stream.write_all(opening.as_bytes()).await?;
    loop {
        stream.write_all(filler.as_bytes()).await?;
        let sent_bytes = filler.len() as u64;
        state.sent_bytes.fetch_add(sent_bytes, Ordering::Relaxed);
    }
}

/// Reads a request with a length or without a body, and returns its identifier.
async fn read_request(stream: &mut BufReader<TcpStream>) -> io::Result<Option<String>> {
    let (mut id, mut length) = (None, 0);
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim();
        if line.is_empty() {
            break;
        }
        let Some((name, value)) = line.split_once(':') else {
            continue;
        };
        match name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.trim().parse().unwrap_or(0),
            REQUEST_ID => id = Some(value.trim().to_owned()),
            _ => {}
        }
    }
    stream.read_exact(&mut vec![0; length]).await?;
    Ok(id)
}
