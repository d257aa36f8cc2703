/// What this daemon itself knows about an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Sighting {
    /// Start time of the process, in milliseconds since 1970.
    pub started_ms: Option<u64>,
    /// Time at which the upstream last answered something, in microseconds.
    pub alive_us: u64,
    /// Time at which an attempt of this daemon at the upstream last ended, in microseconds.
    pub tried_us: u64,
}
