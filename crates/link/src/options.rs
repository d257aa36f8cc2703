use std::time::Duration;

/// Bounds on connections.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Longest time to open a connection. A round trip between regions takes 60 ms; a lost opening
    /// packet is sent again after a second, when another upstream is the better choice.
    pub connect_max: Duration,
    /// Longest time that an unused connection is kept if the other side names none.
    pub idle_max: Duration,
    /// Unused connections that are kept to one address.
    pub idle_connections_max: usize,
    /// Time without an acknowledgement after which the network is taken to have failed.
    pub silence_max: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            connect_max: Duration::from_millis(900),
            idle_max: Duration::from_secs(12),
            idle_connections_max: 32,
            silence_max: Duration::from_secs(3),
        }
    }
}
