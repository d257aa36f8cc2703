use std::{cell::RefCell, net::SocketAddr, rc::Rc};

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use tokio::time::{Duration, Instant};

use crate::{
    PoolOptions, RequestError, Response,
    connection::{Connection, Failed},
};

/// Connection that waits for its next call.
struct Idle {
    connection: Connection,
    since: Instant,
    until: Instant,
}

/// Connections of one thread, by address.
pub struct ConnectionPool {
    options: PoolOptions,
    /// Sorted by address; the connection that was used last is at the end of its list.
    idle: RefCell<Vec<(SocketAddr, Vec<Idle>)>>,
}

impl ConnectionPool {
    /// Creates an empty set of connections.
    #[must_use]
    pub fn new(options: PoolOptions) -> Rc<Self> {
        Rc::new(Self {
            options,
            idle: RefCell::default(),
        })
    }

    /// Sends a call and waits for the head of its answer.
    ///
    /// A connection that was unused for longer than `idle_max` is not used: the other side may be
    /// about to close it, and a call on it could be lost.
    ///
    /// # Errors
    ///
    /// [`RequestError::NotSent`] if no byte was sent, [`RequestError::Lost`] if the request may have
    /// been executed.
    pub async fn send(
        self: &Rc<Self>,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        idle_max: Duration,
    ) -> Result<Response, RequestError> {
        loop {
            let kept = self.take(address, idle_max).await;
            let reused = kept.is_some();
            let mut connection = match kept {
                Some(connection) => connection,
                None => Connection::open(address, &self.options).await?,
            };
            match connection.send(request).await {
                Ok(response) => {
                    let (head, body) = response.into_parts();
                    let links = Rc::downgrade(self);
                    return Ok(Response::new(head, body, connection, links, address));
                }
                Err(Failed::NotSent(unsent)) if reused => request = *unsent,
                Err(Failed::NotSent(_)) => {
                    return Err(RequestError::NotSent("connection closed".to_owned()));
                }
                Err(Failed::Lost(detail)) => return Err(RequestError::Lost(detail)),
            }
        }
    }

    /// Closes the unused connections that have reached their end.
    pub fn close_expired(&self) {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        for (_, connections) in idle.iter_mut() {
            connections.retain(|idle| now < idle.until);
        }
        idle.retain(|(_, connections)| !connections.is_empty());
    }

    /// Closes the unused connections to an address, as after a failure there.
    pub fn close_idle(&self, address: SocketAddr) {
        let mut idle = self.idle.borrow_mut();
        if let Ok(index) = idle.binary_search_by_key(&address, |&(address, _)| address) {
            idle.remove(index);
        }
    }

    /// Keeps a connection for another call.
    pub(crate) fn keep(&self, address: SocketAddr, connection: Connection, until: Option<Instant>) {
        let now = Instant::now();
        let longest = now + self.options.idle_timeout;
        let until = until.map_or(longest, |until| until.min(longest));
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
            until,
        });
    }

    async fn take(&self, address: SocketAddr, idle_max: Duration) -> Option<Connection> {
        loop {
            let mut idle = self.pop(address)?;
            let now = Instant::now();
            let young = now < idle.until && now.duration_since(idle.since) <= idle_max;
            if young && idle.connection.is_reusable().await {
                return Some(idle.connection);
            }
        }
    }

    fn pop(&self, address: SocketAddr) -> Option<Idle> {
        let mut idle = self.idle.borrow_mut();
        let index = idle
            .binary_search_by_key(&address, |&(address, _)| address)
            .ok()?;
        idle[index].1.pop()
    }
}
