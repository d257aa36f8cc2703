use crate::leaving_name::LeavingName;

/// Longest time that a sighting is passed on; by then it has spread or the host list tells it.
const AGE_MAX_US: u64 = 60_000_000;

/// Sightings kept; a whole availability zone of a region holds fewer upstreams.
const KEPT_MAX: usize = 256;

/// Longest name of an upstream.
const NAME_MAX_BYTES: usize = 64;

#[derive(Debug, Clone)]
struct Sighting {
    name: String,
    seen_us: u64,
    sends: u32,
}

/// Upstreams seen leaving, with the time of the sighting.
#[derive(Debug, Clone, Default)]
pub(crate) struct LeavingList {
    /// Sorted by name.
    sightings: Vec<Sighting>,
}

impl LeavingList {
    /// Notes a sighting and returns whether it is new.
    pub(crate) fn add(&mut self, now_us: u64, name: &str, age_us: u64) -> bool {
        if age_us >= AGE_MAX_US || name.is_empty() || name.len() > NAME_MAX_BYTES {
            return false;
        }
        let seen_us = now_us.saturating_sub(age_us);
        match self
            .sightings
            .binary_search_by(|s| s.name.as_str().cmp(name))
        {
            Ok(_) => false,
            Err(_) if self.sightings.len() >= KEPT_MAX => false,
            Err(index) => {
                let name = name.to_owned();
                let sends = 0;
                self.sightings.insert(
                    index,
                    Sighting {
                        name,
                        seen_us,
                        sends,
                    },
                );
                true
            }
        }
    }

    /// Drops sightings that are too old to pass on.
    pub(crate) fn expire(&mut self, now_us: u64) {
        self.sightings
            .retain(|sighting| now_us.saturating_sub(sighting.seen_us) < AGE_MAX_US);
    }

    /// Returns the names.
    pub(crate) fn names(&self) -> impl Iterator<Item = &str> {
        self.sightings.iter().map(|sighting| sighting.name.as_str())
    }

    /// Returns whether a sighting was sent fewer than this many times.
    pub(crate) fn is_hot(&self, sends: u32) -> bool {
        self.sightings.iter().any(|sighting| sighting.sends < sends)
    }

    /// Returns the sightings sent least often that fit into this many bytes.
    pub(crate) fn take(
        &mut self,
        now_us: u64,
        sends_max: u32,
        bytes_max: usize,
    ) -> Vec<LeavingName> {
        let mut order: Vec<usize> = (0..self.sightings.len())
            .filter(|&index| self.sightings[index].sends < sends_max)
            .collect();
        order.sort_by_key(|&index| self.sightings[index].sends);
        let mut left = bytes_max;
        let mut taken = Vec::new();
        for index in order {
            let sighting = &mut self.sightings[index];
            // Length prefix and age take at most 6 bytes.
            let Some(rest) = left.checked_sub(sighting.name.len() + 6) else {
                break;
            };
            left = rest;
            sighting.sends += 1;
            let age_ms = now_us.saturating_sub(sighting.seen_us) / 1_000;
            taken.push(LeavingName {
                name: sighting.name.clone(),
                age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
            });
        }
        taken
    }
}
