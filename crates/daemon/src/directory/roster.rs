//! List of upstreams that keeps upstreams for a grace period after an outage of the store.

use settings::Upstream;

/// Time after an outage of the store within which live upstreams whose rows expired register
/// again.
const REREGISTER_GRACE_US: u64 = 2_500_000;

/// Shortest time without a read that counts as an outage of the store, in which rows of live upstreams
/// expire. One poll that is lost takes less, and must not keep an upstream that has left. Rows expire
/// after three intervals without a heartbeat, so that a few may already have after 2.4 s; their
/// upstreams are out of use until they register again.
const OUTAGE_MIN_US: u64 = 3_000_000;

/// Upstreams that the store lists, and those whose rows may only have expired during an outage.
#[derive(Debug, Default)]
pub(crate) struct Roster {
    /// Sorted by name.
    upstreams: Vec<Upstream>,
    /// Time of the first successful read after the last outage, if there was one.
    recovered_us: Option<u64>,
    /// Time of the last successful read.
    read_us: Option<u64>,
    /// Whether the last read failed.
    unreachable: bool,
    /// Whether rows may have expired or be missing for another reason than that the last read
    /// failed.
    is_doubtful: bool,
    /// Names of the upstreams that are missing since the last outage and are kept for the grace
    /// period, sorted.
    missing: Vec<String>,
}

impl Roster {
    /// Records that the store could not be read.
    pub(crate) const fn record_failure(&mut self) {
        self.unreachable = true;
    }

    /// Records that rows of live upstreams may be missing in the next list: the store came back from
    /// an older copy, or another daemon tells of an outage.
    pub(crate) const fn record_outage(&mut self) {
        self.is_doubtful = true;
    }

    /// Records a successful read; an update with its list must have gone before.
    pub(crate) const fn record_read(&mut self, now_us: u64) {
        self.read_us = Some(now_us);
        self.unreachable = false;
    }

    /// Returns whether rows of live upstreams may be missing in a list that is read now.
    pub(crate) fn is_after_outage(&self, now_us: u64) -> bool {
        self.is_doubtful || self.unreachable && self.may_have_missed_outage(now_us)
    }

    /// Returns whether nothing has been read for so long that rows may have expired meanwhile.
    pub(crate) fn may_have_missed_outage(&self, now_us: u64) -> bool {
        self.read_us
            .is_none_or(|read_us| now_us >= read_us + OUTAGE_MIN_US)
    }

    /// Returns whether [`Self::record_outage`] was called since the last update.
    pub(crate) const fn is_doubtful(&self) -> bool {
        self.is_doubtful
    }

    /// Returns whether an update may change the upstreams although the store lists the same ones.
    pub(crate) const fn is_pending(&self) -> bool {
        self.unreachable || self.is_doubtful || !self.missing.is_empty()
    }

    /// Updates the list to what the store lists after a read; returns whether the upstreams have
    /// changed.
    ///
    /// Rows expire during an outage although their upstreams are alive. Upstreams that are missing
    /// after it are therefore kept for a grace period, except for those that were listed after the
    /// outage: they have left.
    pub(crate) fn update(&mut self, now_us: u64, listed: Vec<Upstream>) -> bool {
        let first_after_outage = self.is_after_outage(now_us);
        if first_after_outage {
            self.recovered_us = Some(now_us);
        }
        self.unreachable = false;
        self.is_doubtful = false;
        self.merge(now_us, listed, first_after_outage)
    }

    /// Updates the list without a read, as time has passed; returns whether the upstreams have
    /// changed.
    pub(crate) fn refresh(&mut self, now_us: u64, listed: Vec<Upstream>) -> bool {
        self.merge(now_us, listed, false)
    }

    fn merge(&mut self, now_us: u64, mut listed: Vec<Upstream>, first_after_outage: bool) -> bool {
        let in_grace_period = self
            .recovered_us
            .is_some_and(|recovered_us| now_us < recovered_us + REREGISTER_GRACE_US);
        listed.sort_by(|a, b| a.name.cmp(&b.name));
        listed.dedup_by(|a, b| a.name == b.name);
        let was_missing = std::mem::take(&mut self.missing);
        if in_grace_period {
            let missing = self.upstreams.iter().filter(|known| {
                let found = listed.binary_search_by(|upstream| upstream.name.cmp(&known.name));
                let address_taken = listed.iter().any(|other| other.address == known.address);
                let may_have_expired =
                    first_after_outage || was_missing.binary_search(&known.name).is_ok();
                found.is_err() && !address_taken && may_have_expired
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

    /// Returns the time at which the grace period of the missing upstreams ends, if there are any.
    pub(crate) fn grace_ends_us(&self) -> Option<u64> {
        let recovered_us = self.recovered_us.filter(|_| !self.missing.is_empty())?;
        Some(recovered_us + REREGISTER_GRACE_US)
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
pub(super) mod tests;
