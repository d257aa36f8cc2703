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
    /// Names of the upstreams that are missing since the store's return and stay for a while, sorted.
    missing: Vec<String>,
}

impl Roster {
    /// Notes that the store could not be read.
    pub(crate) const fn note_failure(&mut self) {
        self.away = true;
    }

    /// Takes in what the store lists; returns whether the upstreams have changed.
    ///
    /// Rows lapse while the store is away although their upstreams live. Upstreams that are missing
    /// after its return therefore stay for a while; one that was listed since then has left.
    pub(crate) fn take(&mut self, now_us: u64, mut listed: Vec<Upstream>) -> bool {
        let first = self.away;
        if first {
            self.away = false;
            self.returned_us = Some(now_us);
        }
        let returning = self
            .returned_us
            .is_some_and(|returned_us| now_us < returned_us + RETURN_US);
        listed.sort_by(|a, b| a.name.cmp(&b.name));
        listed.dedup_by(|a, b| a.name == b.name);
        let was_missing = std::mem::take(&mut self.missing);
        if returning {
            let missing = self.upstreams.iter().filter(|known| {
                let found = listed.binary_search_by(|upstream| upstream.name.cmp(&known.name));
                let address_taken = listed.iter().any(|other| other.address == known.address);
                let lapsed = first || was_missing.binary_search(&known.name).is_ok();
                found.is_err() && !address_taken && lapsed
            });
            let missing: Vec<Upstream> = missing.cloned().collect();
            self.missing = missing.iter().map(|known| known.name.clone()).collect();
            listed.extend(missing);
            listed.sort_by(|a, b| a.name.cmp(&b.name));
        }
        let changed = listed != self.upstreams;
        self.upstreams = listed;
        changed
    }

    /// Returns the time at which upstreams that are still missing are gone, if there are any.
    pub(crate) fn settles_us(&self) -> Option<u64> {
        let returned_us = self.returned_us.filter(|_| !self.missing.is_empty())?;
        Some(returned_us + RETURN_US)
    }

    /// Returns the upstreams, sorted by name.
    pub(crate) fn upstreams(&self) -> &[Upstream] {
        &self.upstreams
    }
}

#[cfg(test)]
#[path = "roster_fuzz_tests.rs"]
mod fuzz_tests;
#[cfg(test)]
#[path = "roster_tests.rs"]
mod tests;
