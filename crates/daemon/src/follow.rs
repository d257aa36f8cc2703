//! Follows the configuration in the rows `release/current` and `release/N` of the table service.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use log::{info, warn};
use release::{CURRENT_KEY, OfferOutcome, Tracker, record_key};
use store::{StoreError, StoreVersion, Table};

use crate::shared::Shared;

/// Number of polls between two reads of `release/current` itself.
///
/// The read is needed only if an operator's program ended between its two writes: the row
/// `release/N` is then missing until the next writer or reader adds it. With three polls of 2 s, a
/// change still takes effect within the required 11 s.
const POLLS_PER_SCAN: u32 = 3;

/// Newest known version of the configuration, from the store or from a peer.
#[derive(Debug, Default)]
pub(crate) struct ReleaseState {
    tracker: Mutex<Tracker>,
}

impl ReleaseState {
    /// Returns the version in force, its digest and the time of the last confirmation.
    pub(crate) fn status(&self) -> (u64, String, Option<u64>) {
        let tracker = self.tracker.lock().unwrap_or_else(PoisonError::into_inner);
        (
            tracker.version(),
            tracker.digest().to_owned(),
            tracker.confirmed_us(),
        )
    }

    /// Puts a value of the row `release/current` in force if it is valid and newer.
    ///
    /// Returns whether the version in force afterwards is that of the value.
    pub(crate) fn offer(&self, shared: &Shared, value: &str) -> bool {
        self.apply(shared, |tracker, now_us| tracker.offer(now_us, value))
    }

    /// Puts the next version in force from its change record.
    fn offer_record(&self, shared: &Shared, value: &str) -> bool {
        self.apply(shared, |tracker, now_us| {
            let snapshot = shared.snapshot.load();
            tracker.offer_record(now_us, &snapshot.config, value)
        })
    }

    /// Records that the store was read and held no newer version.
    fn confirm(&self, shared: &Shared) {
        let mut tracker = self.tracker.lock().unwrap_or_else(PoisonError::into_inner);
        tracker.confirm(shared.clock.now_us());
    }

    /// Puts the configuration that `offer` returns in force.
    fn apply<F>(&self, shared: &Shared, offer: F) -> bool
    where
        F: FnOnce(&mut Tracker, u64) -> OfferOutcome,
    {
        // Locked until the configuration is in force, so that concurrent updates stay in order.
        let mut tracker = self.tracker.lock().unwrap_or_else(PoisonError::into_inner);
        match offer(&mut tracker, shared.clock.now_us()) {
            OfferOutcome::Newer(config) => {
                let version = config.version;
                shared.apply_if_newer(config);
                info!("release: version {version} in force");
                true
            }
            OfferOutcome::Same => true,
            OfferOutcome::Older => false,
            OfferOutcome::Faulty(reason) => {
                warn!("release: ignored a faulty row: {reason}");
                false
            }
        }
    }
}

/// Polls the platform's table service for newer configurations.
pub(crate) async fn follow_releases(shared: Arc<Shared>, table: Box<dyn Table>) {
    let pause = Duration::from_millis(shared.host.store_poll_ms);
    let mut poller = ReleasePoller::default();
    let mut reachable = true;
    loop {
        let began_us = shared.clock.now_us();
        match poller.poll(&shared, table.as_ref()).await {
            Ok(()) => {
                shared.peers.freshness.confirm(began_us);
                reachable = true;
            }
            Err(error) => {
                if reachable {
                    warn!("release: poll failed: {error}");
                }
                reachable = false;
            }
        }
        // After a suspension of this process, the next poll follows immediately.
        let _ = tokio::time::timeout(pause, shared.peers.refresh.notified()).await;
    }
}

/// Poller of the release rows, with what it has read so far.
#[derive(Debug, Default)]
struct ReleasePoller {
    /// Table version up to which `release/current` has been read.
    since_version: StoreVersion,
    /// Version of the configuration that corresponds to `since_version`.
    version: u64,
    polls: u32,
}

impl ReleasePoller {
    /// Reads the rows once; after any error the last valid configuration stays in force.
    async fn poll(&mut self, shared: &Shared, table: &dyn Table) -> Result<(), StoreError> {
        let release_state = &shared.release_state;
        let mut is_complete = true;
        let (first, ..) = release_state.status();
        if first > 0 {
            if first != self.version
                && let Some(row) = table.read(&record_key(first)).await?
            {
                // This version came from a peer before the store was read; skip reading it again.
                self.mark_read(first, row.version);
            }
            let mut next = first + 1;
            while let Some(row) = table.read(&record_key(next)).await? {
                if !release_state.offer_record(shared, &row.value) {
                    is_complete = false;
                    break;
                }
                self.mark_read(next, row.version);
                next += 1;
            }
        }
        let skips_scan = is_complete && first > 0 && !self.polls.is_multiple_of(POLLS_PER_SCAN);
        self.polls = self.polls.wrapping_add(1);
        if skips_scan {
            return Ok(());
        }
        self.read_current(shared, table).await
    }

    /// Marks `release/current` as read up to the record of a version. That record is written after
    /// `release/current` holds that version and before it holds the next one.
    fn mark_read(&mut self, version: u64, row_version: StoreVersion) {
        self.version = version;
        self.since_version = self.since_version.max(row_version);
    }

    /// Reads `release/current` if it was written since it was last put in force.
    async fn read_current(&mut self, shared: &Shared, table: &dyn Table) -> Result<(), StoreError> {
        let release_state = &shared.release_state;
        let rows = table.scan(CURRENT_KEY, self.since_version).await?;
        match rows.iter().find(|row| row.key == CURRENT_KEY) {
            Some(row) if release_state.offer(shared, &row.value) => {
                self.since_version = row.version;
                self.version = release_state.status().0;
            }
            None if self.since_version > StoreVersion::default() => release_state.confirm(shared),
            Some(_) | None => {}
        }
        Ok(())
    }
}

#[cfg(test)]
#[path = "follow_tests.rs"]
mod tests;
