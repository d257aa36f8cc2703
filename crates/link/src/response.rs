use std::{net::SocketAddr, rc::Weak};

use bytes::{Bytes, BytesMut};
use hyper::{HeaderMap, StatusCode, body::Incoming};
use tokio::time::{Duration, Instant};

use crate::{ConnectionPool, RequestError, connection::Connection};

/// Time by which a connection is given up before the other side closes it.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);

/// Answer whose body is read as it arrives; dropping it before its end closes the connection.
pub struct Response {
    status: StatusCode,
    headers: HeaderMap,
    body: Incoming,
    connection: Option<Connection>,
    links: Weak<ConnectionPool>,
    address: SocketAddr,
}

impl Response {
    pub(crate) fn new(
        head: hyper::http::response::Parts,
        body: Incoming,
        connection: Connection,
        links: Weak<ConnectionPool>,
        address: SocketAddr,
    ) -> Self {
        Self {
            status: head.status,
            headers: head.headers,
            body,
            connection: Some(connection),
            links,
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

    /// Returns the next part of the body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// [`RequestError::Lost`] if the body breaks off.
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
                    return Err(RequestError::Lost(error.to_string()));
                }
                None => {
                    self.give_back().await;
                    return Ok(None);
                }
            }
        }
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// [`RequestError::Lost`] if the body breaks off or is larger than `max_bytes`.
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

    /// Keeps the connection for another call.
    async fn give_back(&mut self) {
        let (Some(mut connection), Some(links)) = (self.connection.take(), self.links.upgrade())
        else {
            return;
        };
        let keep_alive = self.headers.get("keep-alive");
        let keep_alive = keep_alive.and_then(|value| timeout_of(value.to_str().ok()?));
        let keep = keep_alive.map(|keep| keep.saturating_sub(KEEP_ALIVE_MARGIN));
        if keep != Some(Duration::ZERO) && connection.is_reusable().await {
            links.keep(
                self.address,
                connection,
                keep.map(|keep| Instant::now() + keep),
            );
        }
    }
}

/// Returns the time that a `Keep-Alive` header states.
fn timeout_of(value: &str) -> Option<Duration> {
    let mut parameters = value.split(',');
    let seconds = parameters.find_map(|parameter| parameter.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
