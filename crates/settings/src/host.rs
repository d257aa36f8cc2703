use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{Document, PeerKey, Problem, ZoneRegion, rules, schemas};

/// Time left for the last bytes to leave before the process is killed.
const KILL_MARGIN: Duration = Duration::from_secs(1);

/// Settings of one host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// Unique name of the host.
    pub name: String,
    /// Region of the host.
    pub region: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for operators and metrics.
    pub admin_listen: SocketAddr,
    /// UDP and TCP address for other daemons.
    pub peer_listen: SocketAddr,
    /// Address of the platform's table service.
    pub store: SocketAddr,
    /// Keys between daemons, the signing key first.
    pub peer_keys: Vec<PeerKey>,
    /// Address for metrics alone, beside the one for operators.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub metrics_listen: Option<SocketAddr>,
    /// Region of each availability zone; a zone that is missing is in the host's own region.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub zones: Vec<ZoneRegion>,
    /// Time after which a leaving upstream must get no new work; bounds the pause between two reads
    /// of the list of upstreams if set.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leaving_max_ms: Option<u64>,
    /// Shortest planned stop: callers go on sending until the balancer has noticed.
    #[serde(default)]
    pub drain_min_ms: u64,
    /// Time after the signal to stop at which the process is killed; bounds the planned stop if set.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stop_grace_s: Option<u64>,
    /// Threads that serve callers.
    #[serde(default = "default_workers")]
    pub workers: usize,
    /// Largest request body.
    #[serde(default = "default_body_bytes")]
    pub body_max_bytes: usize,
    /// Longest time that a caller may take to send its request.
    #[serde(default = "default_receive_ms")]
    pub receive_max_ms: u64,
    /// Pause between two reads of the release version.
    #[serde(default = "default_poll_ms")]
    pub store_poll_ms: u64,
    /// Longest planned stop.
    #[serde(default = "default_drain_ms")]
    pub drain_max_ms: u64,
    /// Bytes a second that this host may send to upstreams in other regions.
    #[serde(default = "default_cross_region_bytes")]
    pub cross_region_bytes_per_s: u64,
}

impl Host {
    /// Parses and checks the settings of a host.
    ///
    /// # Errors
    ///
    /// Returns every fault with its line.
    pub fn parse(text: &str) -> Result<Self, Vec<Problem>> {
        Document::parse(text)?.read(&schemas::HOST, rules::check_host)
    }

    /// Returns the mean pause between two reads of the list of upstreams.
    ///
    /// Half of the time in which a leaving upstream must be noticed: the rest is for a read that gets
    /// no answer and the next one.
    #[must_use]
    pub fn upstream_poll_ms(&self) -> u64 {
        let longest_ms = self.leaving_max_ms.map(|leaving_ms| leaving_ms / 2);
        self.store_poll_ms.min(longest_ms.unwrap_or(u64::MAX))
    }

    /// Returns the longest planned stop.
    #[must_use]
    pub fn drain_max(&self) -> Duration {
        let limit = Duration::from_millis(self.drain_max_ms);
        self.stop_grace_s.map_or(limit, |grace_s| {
            let grace = Duration::from_secs(grace_s);
            limit.min(grace.saturating_sub(KILL_MARGIN))
        })
    }

    /// Returns the region of an availability zone.
    #[must_use]
    pub fn region_of(&self, zone: &str) -> &str {
        let place = self.zones.iter().find(|place| place.zone == zone);
        place.map_or(&self.region, |place| &place.region)
    }
}

const fn default_workers() -> usize {
    2
}

/// 8 MiB hold a long manual or a few photos.
const fn default_body_bytes() -> usize {
    8 * 1024 * 1024
}

const fn default_receive_ms() -> u64 {
    10_000
}

/// 330 daemons that read every 2 s cost the store 165 of its about 2,000 reads a second.
const fn default_poll_ms() -> u64 {
    2_000
}

const fn default_drain_ms() -> u64 {
    120_000
}

/// A sixth of half of the 30 Mbit/s link between regions.
const fn default_cross_region_bytes() -> u64 {
    312_500
}
