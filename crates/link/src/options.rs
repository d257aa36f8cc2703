//! Limits and timeouts of pooled connections.

use std::time::Duration;

/// Limits and timeouts of the connections in a pool.
#[derive(Debug, Clone, Copy)]
pub struct PoolOptions {
    /// Time limit to open a connection. A round trip between regions takes 60 ms; TCP retransmits a
    /// lost SYN only after a second, and by then another upstream is the better choice.
    pub connect_timeout: Duration,
    /// Longest time that an idle connection is kept, if the server does not announce a shorter one.
    pub idle_timeout: Duration,
    /// Largest number of idle connections that are kept per address.
    pub idle_connections_max: usize,
    /// Time without an acknowledgement of sent data after which the connection is closed as failed
    /// (`TCP_USER_TIMEOUT`).
    pub unacked_timeout: Duration,
    /// Whether closing a connection drops what was not sent or acknowledged yet, so that nothing of
    /// a request arrives after its caller has given up.
    pub resets_on_close: bool,
}

impl Default for PoolOptions {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(900),
            idle_timeout: Duration::from_secs(12),
            idle_connections_max: 32,
            unacked_timeout: Duration::from_secs(3),
            resets_on_close: false,
        }
    }
}
