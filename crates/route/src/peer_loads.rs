use crate::{EngineLoad, KindEstimate, LoadAnnouncement};

/// Age from which a daemon's report no longer counts: the daemon has stopped or is unreachable.
const PEER_LOAD_MAX_AGE_US: u64 = 3_000_000;

/// Last announcement of one daemon.
#[derive(Debug, Clone)]
struct PeerLoad {
    peer: String,
    received_us: u64,
    announcement: LoadAnnouncement,
}

/// Load on engines, and estimates of their speed, that the other daemons announced.
#[derive(Debug, Clone, Default)]
pub struct PeerLoads {
    /// Sorted by name.
    peers: Vec<PeerLoad>,
}

impl PeerLoads {
    /// Replaces the announcement of a daemon.
    pub fn update(&mut self, now_us: u64, peer: &str, announcement: &LoadAnnouncement) {
        let mut announcement = announcement.clone();
        announcement
            .engines
            .sort_unstable_by_key(|&(engine, _)| engine);
        announcement.kinds.sort_unstable_by_key(|&(kind, _)| kind);
        let report = PeerLoad {
            peer: peer.to_owned(),
            received_us: now_us,
            announcement,
        };
        let found = self
            .peers
            .binary_search_by(|known| known.peer.as_str().cmp(peer));
        match found {
            Ok(index) => self.peers[index] = report,
            Err(index) => self.peers.insert(index, report),
        }
    }

    /// Returns the load of all other daemons on an engine, identified by the hash of its name.
    #[must_use]
    pub fn total_on(&self, engine: u64) -> EngineLoad {
        let mut sum = EngineLoad::default();
        for peer in &self.peers {
            let engines = &peer.announcement.engines;
            if let Ok(index) = engines.binary_search_by_key(&engine, |&(engine, _)| engine) {
                sum.add(&engines[index].1);
            }
        }
        sum
    }

    /// Returns the medians of all daemons' estimates for a kind of engine, with this daemon's own.
    ///
    /// Each daemon sees few requests, so that single estimates scatter; the medians agree wherever
    /// the same announcements arrive, and a daemon that is far off doesn't move them.
    #[must_use]
    pub fn median_estimate(&self, kind: u64, own: KindEstimate) -> KindEstimate {
        let estimates = self.peers.iter().filter_map(|peer| {
            let kinds = &peer.announcement.kinds;
            let index = kinds.binary_search_by_key(&kind, |&(kind, _)| kind).ok()?;
            Some(kinds[index].1)
        });
        let mut estimates: Vec<KindEstimate> = estimates.chain([own]).collect();
        let middle = (estimates.len() - 1) / 2;
        estimates.sort_unstable_by_key(|estimate| estimate.token_ns);
        let token_ns = estimates[middle].token_ns;
        estimates.sort_unstable_by_key(|estimate| estimate.reserved_permille);
        KindEstimate {
            token_ns,
            reserved_permille: estimates[middle].reserved_permille,
        }
    }

    /// Returns the number of daemons whose announcement counts.
    #[must_use]
    pub const fn heard(&self) -> usize {
        self.peers.len()
    }

    /// Removes announcements that are too old.
    pub fn expire(&mut self, now_us: u64) {
        self.peers
            .retain(|peer| now_us < peer.received_us + PEER_LOAD_MAX_AGE_US);
    }
}

#[cfg(test)]
#[path = "peer_loads_tests.rs"]
mod tests;
