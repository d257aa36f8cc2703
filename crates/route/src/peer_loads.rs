use crate::EngineLoad;

/// Age from which the work that a daemon told no longer counts: it has stopped or can't be reached.
const LOADS_MAX_US: u64 = 3_000_000;

/// Work of one daemon on engines.
#[derive(Debug, Clone)]
struct PeerLoad {
    peer: String,
    told_us: u64,
    /// By the hash of the engine's name, sorted.
    loads: Vec<(u64, EngineLoad)>,
}

/// Work of the other daemons on engines, as they told it.
#[derive(Debug, Clone, Default)]
pub struct PeerLoads {
    /// Sorted by name.
    peers: Vec<PeerLoad>,
}

impl PeerLoads {
    /// Takes in what a daemon tells; what it told before no longer counts.
    pub fn update(&mut self, now_us: u64, peer: &str, loads: &[(u64, EngineLoad)]) {
        let mut loads = loads.to_vec();
        loads.sort_unstable_by_key(|&(engine, _)| engine);
        let told = PeerLoad {
            peer: peer.to_owned(),
            told_us: now_us,
            loads,
        };
        let found = self
            .peers
            .binary_search_by(|known| known.peer.as_str().cmp(peer));
        match found {
            Ok(index) => self.peers[index] = told,
            Err(index) => self.peers.insert(index, told),
        }
    }

    /// Returns the work of all other daemons on an engine, named by the hash of its name.
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

    /// Forgets what was told too long ago.
    pub fn expire(&mut self, now_us: u64) {
        self.peers
            .retain(|peer| now_us < peer.told_us + LOADS_MAX_US);
    }
}

#[cfg(test)]
#[path = "peer_loads_tests.rs"]
mod tests;
