//! Copy of the store's rows about upstreams.

use store::StoreVersion;

use crate::adapter::{UpstreamRead, UpstreamRow};

/// Largest number of removed rows to remember. A daemon that has to know of more is sent all rows.
const REMOVED_MAX: usize = 2_000;

/// Rows about upstreams as the store had them at one of its versions, with the changes that led
/// there, so that others can be told what they lack.
#[derive(Debug, Default)]
pub(crate) struct UpstreamTable {
    /// Version of the store up to which the copy is complete; `None` before the first read.
    store_version: Option<StoreVersion>,
    /// Version from which on all changes are known.
    history_start: StoreVersion,
    /// Rows and removed rows, sorted by name.
    rows: Vec<UpstreamRow>,
}

impl UpstreamTable {
    /// Returns the version of the store up to which the copy is complete.
    pub(crate) const fn store_version(&self) -> Option<StoreVersion> {
        self.store_version
    }

    /// Returns the rows and removed rows, sorted by name.
    pub(crate) fn rows(&self) -> &[UpstreamRow] {
        &self.rows
    }

    /// Applies a read of the store or of another daemon's copy; returns whether an upstream may have
    /// changed. A read that is older than the copy is ignored.
    pub(crate) fn apply(&mut self, mut read: UpstreamRead) -> bool {
        let known = self.store_version.unwrap_or_default();
        // Changes since a version of an earlier era don't lead to this one.
        let lacks_base = !read.is_whole && read.store_version.era != known.era;
        if read.store_version < known || lacks_base {
            return false;
        }
        self.store_version = Some(read.store_version);
        if read.is_whole {
            read.rows.sort_by(|a, b| a.name.cmp(&b.name));
            self.rows = read.rows;
            self.history_start = read.store_version;
            return true;
        }
        let mut changed = false;
        for row in read.rows {
            match self
                .rows
                .binary_search_by(|known| known.name.cmp(&row.name))
            {
                Ok(index) if self.rows[index].store_version >= row.store_version => {}
                Ok(index) => {
                    self.rows[index] = row;
                    changed = true;
                }
                Err(index) => {
                    self.rows.insert(index, row);
                    changed = true;
                }
            }
        }
        self.forget_removed();
        changed
    }

    /// Returns what a copy that is complete up to a version lacks: the changed rows, or all rows if
    /// the changes aren't known. `None` before the first read.
    pub(crate) fn changes_since(&self, version: Option<StoreVersion>) -> Option<UpstreamRead> {
        let store_version = self.store_version?;
        let known = version.filter(|&version| version >= self.history_start);
        let rows = self.rows.iter().filter(|row| match known {
            Some(version) => row.store_version > version,
            None => row.upstream.is_some(),
        });
        Some(UpstreamRead {
            store_version,
            is_whole: known.is_none(),
            rows: rows.cloned().collect(),
        })
    }

    /// Forgets the older half of the removed rows if there are too many.
    fn forget_removed(&mut self) {
        let removed = self.rows.iter().filter(|row| row.upstream.is_none());
        let mut versions: Vec<StoreVersion> = removed.map(|row| row.store_version).collect();
        if versions.len() <= REMOVED_MAX {
            return;
        }
        versions.sort_unstable();
        self.history_start = versions[versions.len() / 2];
        let history_start = self.history_start;
        self.rows
            .retain(|row| row.upstream.is_some() || row.store_version > history_start);
    }
}

#[cfg(test)]
#[path = "upstream_table_tests.rs"]
mod tests;
