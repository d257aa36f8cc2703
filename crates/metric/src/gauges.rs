//! Gauge values, passed in at each scrape.

use crate::ReuseFigures;

/// Values of the gauges at the time of a scrape.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Number of queued requests, by tier.
    pub queued: [u64; 3],
    /// Age of the oldest queued request, by tier.
    pub oldest_wait_us: [u64; 3],
    /// Number of requests that are queued or running.
    pub in_flight: u64,
    /// Number of upstreams that are marked as stragglers.
    pub stragglers: u64,
    /// Number of prompt parts whose requests are refused because they crash upstreams.
    pub quarantined_parts: u64,
    /// Sums about the reuse of shared prompt parts.
    pub reuse: ReuseFigures,
    /// Bytes that are held for callers, by kind.
    pub held_bytes: Vec<(&'static str, u64)>,
    /// Number of requests that wait for memory.
    pub memory_waits: u64,
    /// Number of open connections of callers.
    pub caller_connections: u64,
    /// Version of the configuration in force.
    pub config_version: u64,
    /// Version of the store up to which the upstreams are known, 0 if there is none.
    pub upstreams_version: u64,
    /// Era of the store, which rises when the store comes back from an older copy.
    pub store_era: u64,
    /// Number of other daemons that are live.
    pub live_peers: u64,
    /// Whether the host accepts new requests.
    pub ready: bool,
    /// Whether the host holds the singleton duties of the fleet.
    pub duties_held: bool,
}
