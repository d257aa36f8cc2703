//! Settings of one host.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{Document, Duties, PeerKey, Problem, ZoneRegion, rules, schemas};

/// Time between the end of the drain and the kill of the process, for the last bytes to be sent.
const KILL_MARGIN: Duration = Duration::from_secs(1);

/// Time that a long poll without an answer takes beyond its wait, with the poll after it.
const LOST_POLL_MS: u64 = 1_500;

/// Shortest cycle of long polls that the time of a leaving upstream leads to; an operator may set a
/// shorter one.
const UPSTREAM_CYCLE_MIN_MS: u64 = 600;

/// Longest wait of a long poll for changed upstreams. Rows of live upstreams expire after some
/// seconds of an outage; the poll must fail before, so that the outage is noticed.
const UPSTREAM_WAIT_MAX_MS: u64 = 2_500;

/// Longest wait of a long poll for a new configuration.
const CONFIG_WAIT_MAX_MS: u64 = 8_000;

/// Shortest wait of such a long poll that the time of a configuration leads to.
const CONFIG_WAIT_MIN_MS: u64 = 400;

/// Settings of one host, read from its file at start.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// Unique name of the host.
    pub name: String,
    /// Region of the host.
    pub region: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Address on which callers are served.
    pub listen: SocketAddr,
    /// Address for operators and for metrics.
    pub admin_listen: SocketAddr,
    /// UDP and TCP address for traffic between daemons.
    pub peer_listen: SocketAddr,
    /// Address of the platform's table service.
    pub store: SocketAddr,
    /// Keys that authenticate traffic between daemons; the first one signs.
    pub peer_keys: Vec<PeerKey>,
    /// Additional address that serves only metrics.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub metrics_listen: Option<SocketAddr>,
    /// Region of each availability zone. A zone that is not listed is in the host's own region.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub zones: Vec<ZoneRegion>,
    /// Time within which a leaving upstream must stop getting new work. If set, it limits the
    /// interval between two reads of the list of upstreams.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leaving_max_ms: Option<u64>,
    /// Time within which a new configuration must be in force. If set, it limits how long the store
    /// may hold back its answer while the configuration doesn't change.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub config_max_ms: Option<u64>,
    /// Shortest duration of a drain: callers keep sending requests until the load balancer has
    /// noticed that this host is stopping.
    #[serde(default)]
    pub drain_min_ms: u64,
    /// Time from the stop signal to the kill of the process. If set, it limits the duration of a
    /// drain.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stop_grace_s: Option<u64>,
    /// Number of threads that serve callers.
    #[serde(default = "default_workers")]
    pub workers: usize,
    /// Largest request body.
    #[serde(default = "default_body_bytes")]
    pub body_max_bytes: usize,
    /// Longest time that a caller may take to send a request.
    #[serde(default = "default_receive_ms")]
    pub receive_max_ms: u64,
    /// Memory of the process, in MiB; the platform ends a process that exceeds it. If set, it limits
    /// what is held for callers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub memory_max_mb: Option<u64>,
    /// Largest number of open descriptors of the process. If set, it limits the connections of
    /// callers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub descriptors_max: Option<u64>,
    /// Descriptors that are never used for callers or their requests: files, listeners and the
    /// connections to operators, the store and other hosts.
    #[serde(default = "default_descriptors_reserved")]
    pub descriptors_reserved: u64,
    /// Least speed at which callers send or read what is held for them, in bytes per second.
    #[serde(default = "default_caller_bytes_per_s")]
    pub caller_min_bytes_per_s: u64,
    /// Time over which the speed of a caller is measured.
    #[serde(default = "default_caller_window_ms")]
    pub caller_window_ms: u64,
    /// Interval between two reads of the release version from the table service.
    #[serde(default = "default_poll_ms")]
    pub store_poll_ms: u64,
    /// Longest duration of a drain.
    #[serde(default = "default_drain_ms")]
    pub drain_max_ms: u64,
    /// Maximum number of bytes per second that this host may send to upstreams in other regions.
    #[serde(default = "default_cross_region_bytes")]
    pub cross_region_bytes_per_s: u64,
    /// Singleton duties at the platform, if the deployment has any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub duties: Option<Duties>,
}

impl Host {
    /// Parses and checks the settings of a host.
    ///
    /// # Errors
    ///
    /// Returns every error with its line.
    pub fn parse(text: &str) -> Result<Self, Vec<Problem>> {
        Document::parse(text)?.read(&schemas::HOST, rules::check_host)
    }

    /// Returns the mean pause between two long polls for changed upstreams.
    ///
    /// A third of the cycle is a pause, in which changes add up to one answer.
    #[must_use]
    pub fn upstream_pause_ms(&self) -> u64 {
        self.upstream_cycle_ms() / 3
    }

    /// Returns how long the store may hold back its answer while no upstream changes.
    #[must_use]
    pub fn upstream_wait_ms(&self) -> u64 {
        let wait_ms = self.upstream_cycle_ms() - self.upstream_pause_ms();
        wait_ms.min(UPSTREAM_WAIT_MAX_MS)
    }

    /// Returns how long the store may hold back its answer while the configuration doesn't change.
    ///
    /// A new configuration must be in force in time even if the poll before it gets no answer. A
    /// third of the time that such a poll leaves is kept for the next one, which may be slow.
    #[must_use]
    pub fn config_wait_ms(&self) -> u64 {
        self.config_max_ms.map_or(CONFIG_WAIT_MAX_MS, |config_ms| {
            let wait_ms = config_ms.saturating_sub(LOST_POLL_MS) * 2 / 3;
            wait_ms.clamp(CONFIG_WAIT_MIN_MS, CONFIG_WAIT_MAX_MS)
        })
    }

    /// Returns the time from one long poll for changed upstreams to the next.
    ///
    /// A leaving upstream must be noticed in time even if it leaves at the start of a pause and the
    /// poll after it gets no answer.
    fn upstream_cycle_ms(&self) -> u64 {
        let cycle_ms = self.leaving_max_ms.map_or(u64::MAX, |leaving_ms| {
            let cycle_ms = leaving_ms.saturating_sub(LOST_POLL_MS);
            cycle_ms.max(UPSTREAM_CYCLE_MIN_MS)
        });
        self.store_poll_ms.min(cycle_ms)
    }

    /// Returns the longest duration of a drain.
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
        let entry = self.zones.iter().find(|entry| entry.zone == zone);
        entry.map_or(&self.region, |entry| &entry.region)
    }
}

const fn default_workers() -> usize {
    2
}

/// 8 MiB: enough for a long manual or a few photos.
const fn default_body_bytes() -> usize {
    8 * 1024 * 1024
}

const fn default_receive_ms() -> u64 {
    10_000
}

const fn default_descriptors_reserved() -> u64 {
    64
}

/// A hundredth of what a caller gets of a link of 10 Mbit/s that a hundred share.
const fn default_caller_bytes_per_s() -> u64 {
    1_024
}

const fn default_caller_window_ms() -> u64 {
    10_000
}

/// At 2 s, 330 daemons make 165 reads a second, of the about 2,000 that the table service handles.
const fn default_poll_ms() -> u64 {
    2_000
}

const fn default_drain_ms() -> u64 {
    120_000
}

/// 2.5 Mbit/s: one sixth of half of the 30 Mbit/s link between regions.
const fn default_cross_region_bytes() -> u64 {
    312_500
}
