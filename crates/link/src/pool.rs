//! Pool of connections of one thread.

use std::{cell::RefCell, net::SocketAddr, rc::Rc};

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use tokio::time::{Duration, Instant};

use crate::{
    PoolOptions, RequestError, Response,
    connection::{Connection, SendError},
};

/// Connection that waits for its next request.
struct Idle {
    connection: Connection,
    since: Instant,
    expires: Instant,
}

/// Pool of the connections of one thread, by address.
pub struct ConnectionPool {
    options: PoolOptions,
    /// Idle connections, sorted by address; the most recently used one is last in its list.
    idle: RefCell<Vec<(SocketAddr, Vec<Idle>)>>,
}

impl ConnectionPool {
    /// Creates an empty pool.
    #[must_use]
    pub fn new(options: PoolOptions) -> Rc<Self> {
        Rc::new(Self {
            options,
            idle: RefCell::default(),
        })
    }

    /// Sends a request and waits for the response headers.
    ///
    /// A connection that was idle for longer than `idle_max` is not reused: the server may be about
    /// to close it, and the request could be lost. Nor is one on which a request with the same `tag`
    /// was refused: a server that repeats the refusal would seem to refuse this one too.
    ///
    /// `may_send` is asked before each time that the request is sent, after its connection is open.
    ///
    /// # Errors
    ///
    /// [`RequestError::NotSent`], [`RequestError::Refused`] or [`RequestError::Unreachable`] if no
    /// byte was sent, [`RequestError::Withheld`] if `may_send` did not allow it,
    /// [`RequestError::Lost`] or [`RequestError::Unacknowledged`] if the request may have been
    /// executed.
    pub async fn send<F>(
        self: &Rc<Self>,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        idle_max: Duration,
        tag: u64,
        may_send: F,
    ) -> Result<Response, RequestError>
    where
        F: Fn() -> bool,
    {
        loop {
            let pooled = self.take_reusable(address, idle_max, tag).await;
            let reused = pooled.is_some();
            let mut connection = match pooled {
                Some(connection) => connection,
                None => Connection::open(address, &self.options).await?,
            };
            if !may_send() {
                return Err(RequestError::Withheld);
            }
            match connection.send(request).await {
                Ok(response) => {
                    let (head, body) = response.into_parts();
                    let pool = Rc::downgrade(self);
                    return Ok(Response::new(head, body, connection, pool, address));
                }
                Err(SendError::NotSent(unsent)) if reused => request = *unsent,
                Err(SendError::NotSent(_)) => {
                    return Err(RequestError::NotSent("connection closed".to_owned()));
                }
                Err(SendError::Lost(error)) => return Err(error),
            }
        }
    }

    /// Closes the idle connections that have reached their idle timeout.
    pub fn close_expired(&self) {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        for (_, connections) in idle.iter_mut() {
            connections.retain(|idle| now < idle.expires);
        }
        idle.retain(|(_, connections)| !connections.is_empty());
    }

    /// Closes the idle connections to an address, for example after a failure there.
    pub fn close_idle(&self, address: SocketAddr) {
        let mut idle = self.idle.borrow_mut();
        if let Ok(index) = idle.binary_search_by_key(&address, |&(address, _)| address) {
            idle.remove(index);
        }
    }

    /// Adds an idle connection, which is reused until `until` or the idle timeout.
    pub(crate) fn add_idle(
        &self,
        address: SocketAddr,
        connection: Connection,
        expires: Option<Instant>,
    ) {
        let now = Instant::now();
        let latest = now + self.options.idle_timeout;
        let expires = expires.map_or(latest, |expires| expires.min(latest));
        let mut idle = self.idle.borrow_mut();
        let index = match idle.binary_search_by_key(&address, |&(address, _)| address) {
            Ok(index) => index,
            Err(index) => {
                idle.insert(index, (address, Vec::new()));
                index
            }
        };
        let connections = &mut idle[index].1;
        if connections.len() >= self.options.idle_connections_max {
            connections.remove(0);
        }
        connections.push(Idle {
            connection,
            since: now,
            expires,
        });
    }

    /// Takes an idle connection that can still be reused.
    async fn take_reusable(
        &self,
        address: SocketAddr,
        idle_max: Duration,
        tag: u64,
    ) -> Option<Connection> {
        loop {
            let mut idle = self.pop(address, tag)?;
            let now = Instant::now();
            let is_fresh = now < idle.expires && now.duration_since(idle.since) <= idle_max;
            if is_fresh && idle.connection.is_reusable().await {
                return Some(idle.connection);
            }
        }
    }

    /// Removes the most recently used idle connection to an address on which no request with this
    /// tag was refused.
    fn pop(&self, address: SocketAddr, tag: u64) -> Option<Idle> {
        let mut idle = self.idle.borrow_mut();
        let index = idle
            .binary_search_by_key(&address, |&(address, _)| address)
            .ok()?;
        let connections = &mut idle[index].1;
        let usable = |idle: &Idle| !idle.connection.has_refused(tag);
        let index = connections.iter().rposition(usable)?;
        Some(connections.remove(index))
    }
}
