use crate::leaving_name::LeavingName;

/// Age after which an observation is no longer passed on. By then it has reached all daemons, or
/// the host list shows it.
const AGE_MAX_US: u64 = 60_000_000;

/// Largest number of observations; a whole availability zone of a region has fewer upstreams.
const OBSERVATIONS_MAX: usize = 256;

/// Longest name of an upstream.
const NAME_MAX_BYTES: usize = 64;

#[derive(Debug, Clone)]
struct Observation {
    name: String,
    /// Start of the instance that said so itself, in Unix milliseconds.
    started_ms: Option<u64>,
    seen_us: u64,
    sends: u32,
}

/// Upstreams that were seen leaving, by this daemon or by a peer.
#[derive(Debug, Clone, Default)]
pub(crate) struct LeavingList {
    /// Sorted by name.
    observations: Vec<Observation>,
}

impl LeavingList {
    /// Adds an observation and returns whether it is new.
    pub(crate) fn add(
        &mut self,
        now_us: u64,
        name: &str,
        started_ms: Option<u64>,
        age_us: u64,
    ) -> bool {
        if age_us >= AGE_MAX_US || name.is_empty() || name.len() > NAME_MAX_BYTES {
            return false;
        }
        let seen_us = now_us.saturating_sub(age_us);
        match self
            .observations
            .binary_search_by(|observation| observation.name.as_str().cmp(name))
        {
            Ok(index) => {
                // The word of a later instance is news.
                let known = &mut self.observations[index];
                let is_news = started_ms > known.started_ms;
                if is_news {
                    (known.started_ms, known.seen_us, known.sends) = (started_ms, seen_us, 0);
                }
                is_news
            }
            Err(_) if self.observations.len() >= OBSERVATIONS_MAX => false,
            Err(index) => {
                let name = name.to_owned();
                let sends = 0;
                self.observations.insert(
                    index,
                    Observation {
                        name,
                        started_ms,
                        seen_us,
                        sends,
                    },
                );
                true
            }
        }
    }

    /// Drops observations that are too old to pass on.
    pub(crate) fn expire(&mut self, now_us: u64) {
        self.observations
            .retain(|observation| now_us.saturating_sub(observation.seen_us) < AGE_MAX_US);
    }

    /// Returns the names of the upstreams.
    pub(crate) fn names(&self) -> impl Iterator<Item = &str> {
        self.observations
            .iter()
            .map(|observation| observation.name.as_str())
    }

    /// Returns whether any observation was sent fewer than this many times.
    pub(crate) fn is_hot(&self, sends: u32) -> bool {
        self.observations
            .iter()
            .any(|observation| observation.sends < sends)
    }

    /// Returns the observations that were sent least often, as many as fit into `bytes_max`, and
    /// counts them as sent.
    pub(crate) fn take(
        &mut self,
        now_us: u64,
        sends_max: u32,
        bytes_max: usize,
    ) -> Vec<LeavingName> {
        let mut order: Vec<usize> = (0..self.observations.len())
            .filter(|&index| self.observations[index].sends < sends_max)
            .collect();
        order.sort_by_key(|&index| self.observations[index].sends);
        let mut remaining = bytes_max;
        let mut taken = Vec::new();
        for index in order {
            let observation = &mut self.observations[index];
            // The length prefix and the age take at most 6 bytes, the start at most 11.
            let Some(rest) = remaining.checked_sub(observation.name.len() + 17) else {
                break;
            };
            remaining = rest;
            observation.sends += 1;
            let age_ms = now_us.saturating_sub(observation.seen_us) / 1_000;
            taken.push(LeavingName {
                name: observation.name.clone(),
                started_ms: observation.started_ms,
                age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
            });
        }
        taken
    }
}

#[cfg(test)]
#[path = "leaving_list_tests.rs"]
mod tests;
