use settings::Upstream;

/// Time after the store's return in which upstreams register again whose rows were dropped while it
/// was away.
const RETURN_US: u64 = 2_500_000;

/// Upstreams as the store lists them, and those whose rows may have been dropped without reason.
#[derive(Debug, Default)]
pub(crate) struct Roster {
    /// Sorted by name.
    upstreams: Vec<Upstream>,
    /// Time of the first read since the store could not be read, if it was.
    returned_us: Option<u64>,
    away: bool,
}

impl Roster {
    /// Notes that the store could not be read.
    pub(crate) const fn note_failure(&mut self) {
        self.away = true;
    }

    /// Takes in what the store lists; returns whether the upstreams have changed.
    ///
    /// Rows lapse while the store is away although their upstreams live. Upstreams that are missing
    /// after its return therefore stay for a while.
    pub(crate) fn take(&mut self, now_us: u64, mut listed: Vec<Upstream>) -> bool {
        if self.away {
            self.away = false;
            self.returned_us = Some(now_us);
        }
        let returning = self
            .returned_us
            .is_some_and(|returned_us| now_us < returned_us + RETURN_US);
        listed.sort_by(|a, b| a.name.cmp(&b.name));
        listed.dedup_by(|a, b| a.name == b.name);
        if returning {
            let missing = self.upstreams.iter().filter(|known| {
                let found = listed.binary_search_by(|upstream| upstream.name.cmp(&known.name));
                let address_taken = listed.iter().any(|other| other.address == known.address);
                found.is_err() && !address_taken
            });
            let missing: Vec<Upstream> = missing.cloned().collect();
            listed.extend(missing);
            listed.sort_by(|a, b| a.name.cmp(&b.name));
        }
        let changed = listed != self.upstreams;
        self.upstreams = listed;
        changed
    }

    /// Returns the upstreams, sorted by name.
    pub(crate) fn upstreams(&self) -> &[Upstream] {
        &self.upstreams
    }
}

#[cfg(test)]
#[path = "roster_tests.rs"]
mod tests;
