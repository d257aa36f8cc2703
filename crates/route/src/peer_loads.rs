use crate::EngineLoad;

/// Age from which a daemon's report no longer counts: the daemon has stopped or is unreachable.
const PEER_LOAD_MAX_AGE_US: u64 = 3_000_000;

/// Last report of one daemon.
#[derive(Debug, Clone)]
struct PeerLoad {
    peer: String,
    received_us: u64,
    /// Load by the hash of the engine's name, sorted by the hash.
    loads: Vec<(u64, EngineLoad)>,
}

/// Load on engines that the other daemons reported.
#[derive(Debug, Clone, Default)]
pub struct PeerLoads {
    /// Sorted by name.
    peers: Vec<PeerLoad>,
}

impl PeerLoads {
    /// Replaces the report of a daemon.
    pub fn update(&mut self, now_us: u64, peer: &str, loads: &[(u64, EngineLoad)]) {
        let mut loads = loads.to_vec();
        loads.sort_unstable_by_key(|&(engine, _)| engine);
        let report = PeerLoad {
            peer: peer.to_owned(),
            received_us: now_us,
            loads,
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
            let found = peer
                .loads
                .binary_search_by_key(&engine, |&(engine, _)| engine);
            if let Ok(index) = found {
                sum.add(&peer.loads[index].1);
            }
        }
        sum
    }

    /// Removes reports that are too old.
    pub fn expire(&mut self, now_us: u64) {
        self.peers
            .retain(|peer| now_us < peer.received_us + PEER_LOAD_MAX_AGE_US);
    }
}

#[cfg(test)]
#[path = "peer_loads_tests.rs"]
mod tests;
