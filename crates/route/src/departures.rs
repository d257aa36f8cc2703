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
    /// Whether the instance is known that leaves; no list of the same instance knows better.
    is_of_instance: bool,
    /// Start of that instance, in Unix milliseconds.
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
        entry.is_of_instance = true;
        entry.started_ms = started_ms;
    }

    /// Records that a configuration of this version lists an instance of an upstream as leaving.
    ///
    /// Without a start time, a newer configuration can bring the upstream back from then on, as it
    /// may mean its next instance.
    pub fn insert_listed(
        &mut self,
        now_us: u64,
        name: &Arc<str>,
        version: u64,
        started_ms: Option<u64>,
    ) {
        let entry = self.entry(now_us, name, version);
        entry.is_of_instance = started_ms.is_some();
        entry.started_ms = started_ms;
    }

    /// Returns whether an upstream that a configuration of this version lists as live is still
    /// leaving. Another instance ends the departure of an instance; a newer configuration ends one
    /// of which the instance isn't known.
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
        if entry.is_of_instance && entry.started_ms == started_ms {
            entry.until_us = now_us.saturating_add(LEAVING_US);
            return true;
        }
        if !entry.is_of_instance && version <= entry.version && now_us < entry.until_us {
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
                    is_of_instance: false,
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
