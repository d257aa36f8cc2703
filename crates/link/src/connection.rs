//! Open HTTP/1.1 connection, driven by the task that waits on it.

use std::{
    cell::Cell,
    collections::VecDeque,
    error::Error,
    future::poll_fn,
    io,
    net::SocketAddr,
    pin::{Pin, pin},
    rc::Rc,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request,
    body::{Body as _, Frame, Incoming},
    client::conn::http1,
};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    net::TcpStream,
    task::coop::consume_budget,
    time::{Duration, Instant, timeout},
};
use tokio_util::io::InspectReader;

use crate::{PoolOptions, RequestError};

/// Idle time before the first TCP keepalive probe, and interval between probes; the system's
/// minimum.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Largest size of a response's status line and headers.
const HEAD_MAX_BYTES: usize = 32 * 1024;

/// Largest number of bytes that are read without a response head or a part of a body in them, for
/// example informational responses, chunk extensions or trailers. They may go on without end.
const OVERHEAD_MAX_BYTES: usize = 256 * 1024;

/// Number of refused requests that a connection remembers; earlier ones are not retried any more.
const REFUSED_MAX: usize = 64;

/// Description of a response that goes on without a head or a body.
const WITHOUT_END: &str = "response without end";

/// Connection of which each read is counted.
type Stream = InspectReader<TcpStream, Box<dyn FnMut(&[u8])>>;

type Driver = http1::Connection<TokioIo<Stream>, Full<Bytes>>;

/// Open connection, which carries one request at a time.
pub(crate) struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: Pin<Box<Driver>>,
    closed: bool,
    /// Bytes that were read since the last head of a response or part of a body.
    overhead_bytes: Rc<Cell<usize>>,
    /// Time that it took to open.
    opened_in: Duration,
    /// Number of requests sent on it.
    requests: u32,
    /// Tags of the last requests that were refused on it, oldest first.
    refused: VecDeque<u64>,
}

/// Reason why a request failed; a request that was not sent is returned to the caller.
pub(crate) enum SendError {
    NotSent(Box<Request<Full<Bytes>>>),
    Lost(RequestError),
}

impl Connection {
    /// Opens a connection.
    pub(crate) async fn open(
        address: SocketAddr,
        options: &PoolOptions,
    ) -> Result<Self, RequestError> {
        let not_sent = |detail: String| RequestError::NotSent(detail);
        let began = Instant::now();
        let stream = timeout(options.connect_timeout, TcpStream::connect(address)).await;
        let opened_in = began.elapsed();
        let stream = stream
            .map_err(|_| RequestError::Unreachable("connect timed out".to_owned()))?
            .map_err(|error| connect_error(&error))?;
        let socket = SockRef::from(&stream);
        let keepalive = TcpKeepalive::new()
            .with_time(KEEPALIVE_INTERVAL)
            .with_interval(KEEPALIVE_INTERVAL)
            .with_retries(3);
        let configured = socket
            .set_tcp_nodelay(true)
            .and_then(|()| socket.set_tcp_keepalive(&keepalive))
            .and_then(|()| socket.set_tcp_user_timeout(Some(options.unacked_timeout)))
            .and_then(|()| {
                let linger = options.resets_on_close.then_some(Duration::ZERO);
                linger.map_or(Ok(()), |linger| socket.set_linger(Some(linger)))
            });
        configured.map_err(|error| not_sent(error.to_string()))?;
        let overhead_bytes = Rc::<Cell<usize>>::default();
        let counted = overhead_bytes.clone();
        let count = move |bytes: &[u8]| counted.set(counted.get() + bytes.len());
        let stream = Stream::new(stream, Box::new(count));
        let mut builder = http1::Builder::new();
        builder.max_buf_size(HEAD_MAX_BYTES);
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, driver) = handshake.map_err(|error| not_sent(error.to_string()))?;
        Ok(Self {
            sender,
            driver: Box::pin(driver),
            closed: false,
            overhead_bytes,
            opened_in,
            requests: 0,
            refused: VecDeque::new(),
        })
    }

    /// Sends a request and waits for the response headers.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<hyper::Response<Incoming>, SendError> {
        self.requests += 1;
        self.overhead_bytes.set(0);
        let mut sent = pin!(self.sender.try_send_request(request));
        let (driver, closed) = (&mut self.driver, &mut self.closed);
        let result = poll_fn(|context| {
            drive(driver, closed, context);
            let sent = sent.as_mut().poll(context);
            give_up_without_end(&self.overhead_bytes, sent)
        })
        .await;
        self.overhead_bytes.set(0);
        let Some(result) = result else {
            return Err(SendError::Lost(RequestError::Lost(WITHOUT_END.to_owned())));
        };
        result.map_err(|mut error| match error.take_message() {
            Some(request) => SendError::NotSent(Box::new(request)),
            None => SendError::Lost(lost(error.error())),
        })
    }

    /// Returns the time that it took to open: a round trip on the network.
    pub(crate) const fn opened_in(&self) -> Duration {
        self.opened_in
    }

    /// Returns whether another request was sent on it before the last one.
    pub(crate) const fn is_reused(&self) -> bool {
        self.requests > 1
    }

    /// Records that the request with this tag was refused on it.
    pub(crate) fn add_refused(&mut self, tag: u64) {
        if self.refused.len() >= REFUSED_MAX {
            self.refused.pop_front();
        }
        self.refused.push_back(tag);
    }

    /// Returns whether a request with this tag was refused on it.
    pub(crate) fn has_refused(&self, tag: u64) -> bool {
        self.refused.contains(&tag)
    }

    /// Reads the next frame of a response body.
    ///
    /// A frame counts as one operation of the task's budget (`tokio::task::coop`). One read may bring
    /// thousands of small chunks, which would keep the thread from all other requests.
    pub(crate) async fn next(
        &mut self,
        body: &mut Incoming,
    ) -> Option<Result<Frame<Bytes>, RequestError>> {
        consume_budget().await;
        let (driver, closed) = (&mut self.driver, &mut self.closed);
        let frame = poll_fn(|context| {
            drive(driver, closed, context);
            let frame = Pin::new(&mut *body).poll_frame(context);
            give_up_without_end(&self.overhead_bytes, frame)
        })
        .await;
        self.overhead_bytes.set(0);
        match frame {
            Some(frame) => frame.map(|frame| frame.map_err(|error| lost(&error))),
            None => Some(Err(RequestError::Lost(WITHOUT_END.to_owned()))),
        }
    }

    /// Returns whether another request can be sent: no unsolicited bytes arrived and nothing is in
    /// flight.
    pub(crate) async fn is_reusable(&mut self) -> bool {
        let (driver, closed) = (&mut self.driver, &mut self.closed);
        poll_fn(|context| {
            drive(driver, closed, context);
            Poll::Ready(())
        })
        .await;
        !self.closed && self.sender.is_ready()
    }
}

/// Maps an error of the system while a connection is opened.
fn connect_error(error: &io::Error) -> RequestError {
    let detail = error.to_string();
    match error.kind() {
        io::ErrorKind::ConnectionRefused => RequestError::Refused(detail),
        io::ErrorKind::TimedOut
        | io::ErrorKind::HostUnreachable
        | io::ErrorKind::NetworkUnreachable => RequestError::Unreachable(detail),
        _ => RequestError::NotSent(detail),
    }
}

/// Maps an error of a connection on which a request was sent.
fn lost(error: &hyper::Error) -> RequestError {
    let detail = error.to_string();
    let mut source: Option<&dyn Error> = error.source();
    while let Some(cause) = source {
        let io_error = cause.downcast_ref::<io::Error>();
        if io_error.is_some_and(|error| error.kind() == io::ErrorKind::TimedOut) {
            return RequestError::Unacknowledged(detail);
        }
        source = cause.source();
    }
    RequestError::Lost(detail)
}

/// Ends a wait, with `None`, for which too many bytes were read already.
fn give_up_without_end<T>(overhead_bytes: &Cell<usize>, polled: Poll<T>) -> Poll<Option<T>> {
    if polled.is_pending() && overhead_bytes.get() > OVERHEAD_MAX_BYTES {
        return Poll::Ready(None);
    }
    polled.map(Some)
}

/// Polls the connection's I/O and records when it has closed.
fn drive(driver: &mut Pin<Box<Driver>>, closed: &mut bool, context: &mut Context<'_>) {
    if !*closed && driver.as_mut().poll(context).is_ready() {
        *closed = true;
    }
}
