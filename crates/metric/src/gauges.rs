/// Values that are read at the time of a scrape.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Waiting requests by tier.
    pub queued: [u64; 3],
    /// Age of the oldest waiting request by tier.
    pub oldest_wait_us: [u64; 3],
    /// Requests queued or running.
    pub in_flight: u64,
    /// Upstreams that are judged to be stragglers.
    pub stragglers: u64,
    /// Version of the configuration in force.
    pub config_version: u64,
    /// Other daemons that are live.
    pub live_peers: u64,
    /// Whether the host takes new work.
    pub ready: bool,
}
