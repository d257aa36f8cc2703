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
}

/// Upstreams that are known to be leaving, kept even while no configuration lists them.
#[derive(Debug, Clone, Default)]
pub struct Departures {
    entries: Vec<Departure>,
}

impl Departures {
    /// Records that an upstream is leaving, as of a configuration version.
    pub fn insert(&mut self, now_us: u64, name: &Arc<str>, version: u64) {
        let until_us = now_us.saturating_add(LEAVING_US);
        match self.find(name) {
            Ok(index) => {
                let entry = &mut self.entries[index];
                entry.version = entry.version.max(version);
                entry.until_us = entry.until_us.max(until_us);
            }
            Err(index) => self.entries.insert(
                index,
                Departure {
                    name: name.clone(),
                    version,
                    until_us,
                },
            ),
        }
    }

    /// Returns whether an upstream that a configuration of this version lists as live is still
    /// leaving. A newer configuration removes the departure.
    pub fn still_leaving(&mut self, name: &str, version: u64) -> bool {
        let Ok(index) = self.find(name) else {
            return false;
        };
        if version <= self.entries[index].version {
            return true;
        }
        self.entries.remove(index);
        false
    }

    /// Removes departures whose leaving period is over.
    pub fn expire(&mut self, now_us: u64) {
        self.entries.retain(|entry| now_us < entry.until_us);
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| entry.name.as_ref().cmp(name))
    }
}
