use std::time::Duration;

/// Bounds on connections.
#[derive(Debug, Clone, Copy)]
pub struct PoolOptions {
    /// Longest time to open a connection. A round trip between regions takes 60 ms; a lost opening
    /// packet is sent again after a second, when another upstream is the better choice.
    pub connect_timeout: Duration,
    /// Longest time that an unused connection is kept if the other side names none.
    pub idle_timeout: Duration,
    /// Unused connections that are kept to one address.
    pub idle_connections_max: usize,
    /// Time without an acknowledgement after which the network is taken to have failed.
    pub unacked_timeout: Duration,
}

impl Default for PoolOptions {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(900),
            idle_timeout: Duration::from_secs(12),
            idle_connections_max: 32,
            unacked_timeout: Duration::from_secs(3),
        }
    }
}
