//! Upstreams that have left, as a restored store may list them again.

use settings::{Upstream, UpstreamLifecycle};
use store::StoreVersion;

use crate::adapter::UpstreamRow;

/// Time after a restore within which rows of the copy aren't believed to be current. Upstreams write
/// theirs again within two seconds, and the rows of those that are gone lapse after some intervals
/// of their heartbeats.
const DOUBT_US: u64 = 10_000_000;

/// Time for which a departure is remembered; a copy is some seconds old.
const MEMORY_US: u64 = 60_000_000;

/// Largest number of departures to remember; the oldest are forgotten first.
const ENTRIES_MAX: usize = 2_000;

/// Departures that are remembered over a restore of the store from an older copy.
///
/// In the copy an upstream that has left may still be live. Such a row is not used until it is
/// written anew, or until the doubt ends.
#[derive(Debug, Default)]
pub(crate) struct Departed {
    /// Sorted by name.
    entries: Vec<Entry>,
    restore: Option<Restore>,
}

/// Restore of the store, as it was noticed.
#[derive(Debug, Clone, Copy)]
struct Restore {
    /// Version of the first read of the new era. Rows up to it may come from the copy.
    version: StoreVersion,
    ends_us: u64,
}

/// Runs of an upstream that a departure concerns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Runs {
    /// Any: only the removal of the row was seen.
    Any,
    /// The one that started at this Unix time in milliseconds, if it said so.
    One(Option<u64>),
}

/// Departure of an upstream.
#[derive(Debug)]
struct Entry {
    name: String,
    runs: Runs,
    /// Whether its row was removed, rather than marked as leaving.
    is_gone: bool,
    left_us: u64,
}

impl Departed {
    /// Records that the store was restored, with the version of the first read that shows it.
    pub(crate) fn record_restore(&mut self, now_us: u64, version: StoreVersion) {
        let ends_us = now_us + DOUBT_US;
        self.restore = Some(Restore { version, ends_us });
    }

    /// Records which upstreams left between two lists, both sorted by name, and which are back.
    pub(crate) fn record(&mut self, now_us: u64, before: &[Upstream], after: &[Upstream]) {
        let find = |list: &[Upstream], name: &str| {
            let index = list.binary_search_by(|upstream| upstream.name.as_str().cmp(name));
            index.ok()
        };
        self.entries.retain(|entry| {
            let is_back = find(after, &entry.name).is_some_and(|index| {
                let upstream = &after[index];
                upstream.state == UpstreamLifecycle::Live || !entry.concerns(upstream)
            });
            !is_back && now_us < entry.left_us + MEMORY_US
        });
        for upstream in after {
            if upstream.state == UpstreamLifecycle::Leaving {
                let runs = Runs::One(upstream.started_ms);
                self.insert(now_us, &upstream.name, runs, false);
            }
        }
        for upstream in before {
            if find(after, &upstream.name).is_none() {
                let runs = Runs::One(upstream.started_ms);
                self.insert(now_us, &upstream.name, runs, true);
            }
        }
        self.forget_oldest();
    }

    /// Records upstreams whose rows are removed, also those that were removed before they were ever
    /// listed here.
    pub(crate) fn record_removed<'a, I>(&mut self, now_us: u64, names: I)
    where
        I: Iterator<Item = &'a str>,
    {
        for name in names {
            let index = self
                .entries
                .binary_search_by(|entry| entry.name.as_str().cmp(name));
            if index.is_err() {
                self.insert(now_us, name, Runs::Any, true);
            }
        }
        self.forget_oldest();
    }

    fn forget_oldest(&mut self) {
        while self.entries.len() > ENTRIES_MAX {
            let entries = self.entries.iter().enumerate();
            let oldest = entries.min_by_key(|(_, entry)| entry.left_us);
            let index = oldest.map_or(0, |(index, _)| index);
            self.entries.remove(index);
        }
    }

    /// Returns the upstream of a row as it may be used: not at all, or as a leaving one, if it has
    /// left and the row may come from the copy.
    pub(crate) fn screen(&self, now_us: u64, row: &UpstreamRow) -> Option<Upstream> {
        let upstream = row.upstream.clone()?;
        let Some(entry) = self.doubted(now_us, row, &upstream) else {
            return Some(upstream);
        };
        let state = UpstreamLifecycle::Leaving;
        (!entry.is_gone).then_some(Upstream { state, ..upstream })
    }

    /// Returns when the doubt about a restored list ends, if there is one.
    pub(crate) fn ends_us(&self, now_us: u64) -> Option<u64> {
        let restore = self.restore.filter(|restore| now_us < restore.ends_us);
        let restore = restore.filter(|_| !self.entries.is_empty())?;
        Some(restore.ends_us)
    }

    fn doubted(&self, now_us: u64, row: &UpstreamRow, upstream: &Upstream) -> Option<&Entry> {
        let restore = self.restore.filter(|restore| now_us < restore.ends_us)?;
        if row.store_version > restore.version || upstream.state == UpstreamLifecycle::Leaving {
            return None;
        }
        let index = self
            .entries
            .binary_search_by(|entry| entry.name.cmp(&row.name));
        let entry = &self.entries[index.ok()?];
        entry.concerns(upstream).then_some(entry)
    }

    fn insert(&mut self, now_us: u64, name: &str, runs: Runs, is_gone: bool) {
        let entry = Entry {
            name: name.to_owned(),
            runs,
            is_gone,
            left_us: now_us,
        };
        match self
            .entries
            .binary_search_by(|entry| entry.name.as_str().cmp(name))
        {
            Ok(index)
                if (self.entries[index].runs, self.entries[index].is_gone) == (runs, is_gone) => {}
            Ok(index) => self.entries[index] = entry,
            Err(index) => self.entries.insert(index, entry),
        }
    }
}

impl Entry {
    fn concerns(&self, upstream: &Upstream) -> bool {
        match self.runs {
            Runs::Any => true,
            Runs::One(started_ms) => started_ms == upstream.started_ms,
        }
    }
}

#[cfg(test)]
#[path = "departed_tests.rs"]
mod tests;
