use std::sync::Arc;

/// Time for which an older or equal configuration can't bring a leaving upstream back. Host lists
/// and polls of the store lag by seconds; ten minutes cover a long store outage.
const LEAVING_US: u64 = 600_000_000;

/// Leaving upstream, with the configuration version at which that became known.
#[derive(Debug, Clone)]
struct Departure {
    name: Arc<str>,
    version: u64,
    until_us: u64,
    /// Whether the upstream said so itself; no list of the same instance knows better.
    is_self_reported: bool,
    /// Start of the instance that said so, in Unix milliseconds.
    started_ms: Option<u64>,
}

/// Upstreams that are known to be leaving, kept even while no configuration lists them.
#[derive(Debug, Clone, Default)]
pub struct Departures {
    /// Sorted by name.
    entries: Vec<Departure>,
}

impl Departures {
    /// Records that an upstream is leaving, as of a configuration version.
    pub fn insert(&mut self, now_us: u64, name: &Arc<str>, version: u64) {
        self.entry(now_us, name, version);
    }

    /// Records that an instance of an upstream said itself that it is leaving.
    pub fn insert_instance(
        &mut self,
        now_us: u64,
        name: &Arc<str>,
        version: u64,
        started_ms: Option<u64>,
    ) {
        let entry = self.entry(now_us, name, version);
        entry.is_self_reported = true;
        entry.started_ms = started_ms;
    }

    /// Records that a configuration of this version lists an upstream as leaving. From then on a
    /// newer configuration can bring it back, since the list has caught up with the upstream.
    pub fn insert_listed(
        &mut self,
        now_us: u64,
        name: &Arc<str>,
        version: u64,
        started_ms: Option<u64>,
    ) {
        self.entries.retain(|entry| {
            entry.name != *name || !entry.is_self_reported || entry.started_ms == started_ms
        });
        self.entry(now_us, name, version).is_self_reported = false;
    }

    /// Returns whether an upstream that a configuration of this version lists as live is still
    /// leaving. A newer configuration removes the departure, but for an instance that said so
    /// itself.
    pub fn still_leaving(
        &mut self,
        now_us: u64,
        name: &str,
        version: u64,
        started_ms: Option<u64>,
    ) -> bool {
        let Ok(index) = self.find(name) else {
            return false;
        };
        let entry = &mut self.entries[index];
        if entry.is_self_reported && entry.started_ms == started_ms {
            entry.until_us = now_us.saturating_add(LEAVING_US);
            return true;
        }
        if !entry.is_self_reported && version <= entry.version && now_us < entry.until_us {
            return true;
        }
        self.entries.remove(index);
        false
    }

    /// Removes departures whose leaving period is over.
    pub fn expire(&mut self, now_us: u64) {
        self.entries.retain(|entry| now_us < entry.until_us);
    }

    fn entry(&mut self, now_us: u64, name: &Arc<str>, version: u64) -> &mut Departure {
        let until_us = now_us.saturating_add(LEAVING_US);
        let index = match self.find(name) {
            Ok(index) => index,
            Err(index) => {
                let entry = Departure {
                    name: name.clone(),
                    version,
                    until_us,
                    is_self_reported: false,
                    started_ms: None,
                };
                self.entries.insert(index, entry);
                index
            }
        };
        let entry = &mut self.entries[index];
        entry.version = entry.version.max(version);
        entry.until_us = entry.until_us.max(until_us);
        entry
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| entry.name.as_ref().cmp(name))
    }
}
