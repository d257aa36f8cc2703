use store::StoreVersion;

use crate::{Quarantine, Snapshot};

/// Time for which a daemon must have been one of the homes before it reads the row: daemons that
/// start together first find each other.
const SETTLE_US: u64 = 500_000;

/// Shortest time between two writes of the row.
const WRITE_INTERVAL_US: u64 = 1_000_000;

/// Time after a failed call.
const RETRY_US: u64 = 1_000_000;

/// Call of the store that is due.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PersistenceStep {
    /// None.
    Wait,
    /// Read the row, and pass it to [`Persistence::handle_read`].
    Read,
    /// Write the row if it has this version, or if there is none at `None`; pass the result to
    /// [`Persistence::handle_write`].
    Write {
        /// Version of the row that is replaced.
        version: Option<StoreVersion>,
        /// New content.
        snapshot: Snapshot,
    },
}

/// What is known of the row in the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum StoredRow {
    /// It has to be read.
    #[default]
    Unknown,
    /// It has this version, or does not exist.
    Known(Option<StoreVersion>),
}

/// Keeps evidence and verdicts in a row of the platform's store, over the end of all daemons.
///
/// The daemons that gather the evidence read the row when they become homes. The first of them
/// writes it, on condition that nobody else has, whenever something has changed.
#[derive(Debug, Clone, Default)]
pub struct Persistence {
    /// Time from which this daemon has been a home without a break.
    home_since_us: Option<u64>,
    row: StoredRow,
    /// Newest known era of the store.
    era: u64,
    /// Revision of the quarantine that the row holds; 0, with which nothing is known, if it may hold
    /// none.
    saved_revision: u64,
    /// Revision that the last write has.
    written_revision: u64,
    next_call_us: u64,
}

impl Persistence {
    /// Records the newest known era of the store.
    ///
    /// In a new era the store has come back from an older copy: the row is read, and what this daemon
    /// knows is written again.
    pub const fn see_era(&mut self, era: u64) {
        if era > self.era {
            self.era = era;
            self.row = StoredRow::Unknown;
            self.saved_revision = 0;
        }
    }

    /// Returns the call that is due; `unix_ms` is the wall-clock time.
    pub fn next_step(
        &mut self,
        now_us: u64,
        unix_ms: u64,
        quarantine: &Quarantine,
    ) -> PersistenceStep {
        let Some(rank) = quarantine.home_rank() else {
            // Another daemon may write the row from now on.
            self.home_since_us = None;
            self.row = StoredRow::Unknown;
            return PersistenceStep::Wait;
        };
        let home_since_us = *self.home_since_us.get_or_insert(now_us);
        if now_us < self.next_call_us {
            return PersistenceStep::Wait;
        }
        match self.row {
            StoredRow::Unknown if now_us < home_since_us + SETTLE_US => PersistenceStep::Wait,
            StoredRow::Unknown => PersistenceStep::Read,
            StoredRow::Known(version)
                if rank == 0 && quarantine.revision() != self.saved_revision =>
            {
                self.written_revision = quarantine.revision();
                let snapshot = quarantine.snapshot(now_us, unix_ms);
                PersistenceStep::Write { version, snapshot }
            }
            StoredRow::Known(_) => PersistenceStep::Wait,
        }
    }

    /// Handles the row that was read, or that prevented a write, and restores its content.
    ///
    /// `version` is `None` if there is no row, and `snapshot` if its content can't be read.
    pub fn handle_read(
        &mut self,
        now_us: u64,
        unix_ms: u64,
        version: Option<StoreVersion>,
        snapshot: Option<&Snapshot>,
        quarantine: &mut Quarantine,
    ) {
        if let Some(version) = version {
            self.see_era(version.era);
        }
        self.row = StoredRow::Known(version);
        let is_saved = quarantine.revision() == self.saved_revision;
        if let Some(snapshot) = snapshot {
            quarantine.restore(now_us, unix_ms, snapshot);
        }
        if is_saved {
            self.saved_revision = quarantine.revision();
        }
    }

    /// Handles a successful write.
    pub const fn handle_write(&mut self, now_us: u64, version: StoreVersion) {
        self.next_call_us = now_us + WRITE_INTERVAL_US;
        self.see_era(version.era);
        // A write of an earlier era is gone.
        if version.era == self.era {
            self.row = StoredRow::Known(Some(version));
            self.saved_revision = self.written_revision;
        }
    }

    /// Handles a failed call; a write may have taken effect.
    pub const fn handle_failure(&mut self, now_us: u64) {
        self.row = StoredRow::Unknown;
        self.next_call_us = now_us + RETRY_US;
    }
}
