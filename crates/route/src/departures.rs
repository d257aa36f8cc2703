use std::sync::Arc;

/// Time for which an older or equal configuration can't revive a leaving upstream. Host lists and
/// polls of the store lag by seconds; ten minutes cover a long store outage.
const LEAVING_US: u64 = 600_000_000;

#[derive(Debug, Clone)]
struct Departure {
    name: Arc<str>,
    version: u64,
    until_us: u64,
}

/// Upstreams that are known to leave, kept also while no configuration lists them.
#[derive(Debug, Clone, Default)]
pub struct Departures {
    entries: Vec<Departure>,
}

impl Departures {
    /// Notes that an upstream leaves, as known at a configuration version.
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

    /// Returns whether an upstream that a configuration lists as live is leaving nevertheless, and
    /// forgets the departure if not.
    pub fn overrides(&mut self, name: &str, version: u64) -> bool {
        let Ok(index) = self.find(name) else {
            return false;
        };
        if version <= self.entries[index].version {
            return true;
        }
        self.entries.remove(index);
        false
    }

    /// Forgets departures whose time has passed.
    pub fn expire(&mut self, now_us: u64) {
        self.entries.retain(|entry| now_us < entry.until_us);
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| entry.name.as_ref().cmp(name))
    }
}
