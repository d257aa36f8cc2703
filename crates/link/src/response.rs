//! Response whose body is read from a pooled connection.

use std::{net::SocketAddr, rc::Weak};

use bytes::{Bytes, BytesMut};
use hyper::{HeaderMap, StatusCode, body::Incoming, header};
use tokio::time::{Duration, Instant};

use crate::{ConnectionPool, RequestError, connection::Connection};

/// Time before the server's announced keep-alive timeout at which a connection is no longer reused.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);

/// Response whose body is read as it arrives; dropping it before the end closes the connection.
pub struct Response {
    status: StatusCode,
    headers: HeaderMap,
    body: Incoming,
    connection: Option<Connection>,
    pool: Weak<ConnectionPool>,
    address: SocketAddr,
}

impl Response {
    pub(crate) fn new(
        head: hyper::http::response::Parts,
        body: Incoming,
        connection: Connection,
        pool: Weak<ConnectionPool>,
        address: SocketAddr,
    ) -> Self {
        Self {
            status: head.status,
            headers: head.headers,
            body,
            connection: Some(connection),
            pool,
            address,
        }
    }

    /// Returns the status.
    #[must_use]
    pub const fn status(&self) -> StatusCode {
        self.status
    }

    /// Returns the headers.
    #[must_use]
    pub const fn headers(&self) -> &HeaderMap {
        &self.headers
    }

    /// Returns whether its connection carried another request before.
    ///
    /// An answer on such a connection may belong to the earlier request if nothing in it says
    /// otherwise.
    #[must_use]
    pub fn is_on_reused_connection(&self) -> bool {
        self.connection.as_ref().is_none_or(Connection::is_reused)
    }

    /// Returns the time that its connection took to open, which is a round trip on the network.
    #[must_use]
    pub fn connect_time(&self) -> Option<Duration> {
        self.connection.as_ref().map(Connection::opened_in)
    }

    /// Returns whether the body has a length or chunks, so that its end is known.
    ///
    /// Any other body ends with its connection, also if the server fails.
    #[must_use]
    pub fn is_framed(&self) -> bool {
        self.headers.contains_key(header::CONTENT_LENGTH)
            || self.headers.contains_key(header::TRANSFER_ENCODING)
    }

    /// Records that it refuses the request with this tag; see [`ConnectionPool::send`].
    pub fn mark_refused(&mut self, tag: u64) {
        if let Some(connection) = &mut self.connection {
            connection.add_refused(tag);
        }
    }

    /// Returns the next chunk of the body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// [`RequestError::Lost`] or [`RequestError::Unacknowledged`] if the connection fails before the end of the body.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, RequestError> {
        loop {
            let Some(connection) = self.connection.as_mut() else {
                return Ok(None);
            };
            match connection.next(&mut self.body).await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
                Some(Err(error)) => {
                    self.connection = None;
                    return Err(error);
                }
                None => {
                    self.return_to_pool().await;
                    return Ok(None);
                }
            }
        }
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// [`RequestError::Lost`] or [`RequestError::Unacknowledged`] if the connection fails before the end of the body or the body is
    /// larger than `max_bytes`.
    pub async fn read_body(&mut self, max_bytes: usize) -> Result<Bytes, RequestError> {
        let Some(first) = self.next_chunk().await? else {
            return Ok(Bytes::new());
        };
        let Some(second) = self.next_chunk().await? else {
            return Ok(first);
        };
        let mut body = BytesMut::from(&first[..]);
        body.extend_from_slice(&second);
        while let Some(chunk) = self.next_chunk().await? {
            if body.len() + chunk.len() > max_bytes {
                self.connection = None;
                return Err(RequestError::Lost(format!("more than {max_bytes} bytes")));
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    }

    /// Returns the connection to the pool, unless the server will close it too soon.
    async fn return_to_pool(&mut self) {
        let (Some(mut connection), Some(pool)) = (self.connection.take(), self.pool.upgrade())
        else {
            return;
        };
        let header = self.headers.get("keep-alive");
        let announced = header.and_then(|value| parse_keep_alive_timeout(value.to_str().ok()?));
        let idle_time = announced.map(|timeout| timeout.saturating_sub(KEEP_ALIVE_MARGIN));
        if idle_time != Some(Duration::ZERO) && connection.is_reusable().await {
            pool.add_idle(
                self.address,
                connection,
                idle_time.map(|idle_time| Instant::now() + idle_time),
            );
        }
    }
}

/// Returns the timeout in a `Keep-Alive` header.
fn parse_keep_alive_timeout(value: &str) -> Option<Duration> {
    let mut parameters = value.split(',');
    let seconds = parameters.find_map(|parameter| parameter.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
