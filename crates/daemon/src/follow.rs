use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use log::{info, warn};
use release::{CURRENT_KEY, OfferOutcome, Tracker, record_key};
use store::{StoreError, Table};

use crate::shared::Shared;

/// Polls between two looks at `release/current` itself.
///
/// It is needed only if an operator's program ended between its two writes: the row `release/N`
/// is then missing until the next writer or reader completes it. Three polls of 2 s keep the
/// change within the 11 s in which it has to be in force.
const POLLS_PER_SCAN: u32 = 3;

/// Version in force as this daemon knows it, from the store or from a peer.
#[derive(Debug, Default)]
pub(crate) struct Releases {
    tracker: Mutex<Tracker>,
}

impl Releases {
    /// Returns the version in force, its digest and the time of the last confirmation.
    pub(crate) fn status(&self) -> (u64, String, Option<u64>) {
        let tracker = self.tracker.lock().unwrap_or_else(PoisonError::into_inner);
        (
            tracker.version(),
            tracker.digest().to_owned(),
            tracker.confirmed_us(),
        )
    }

    /// Takes up a value of the row `release/current` if it is whole and newer.
    ///
    /// Returns whether the value is that of the version in force afterwards.
    pub(crate) fn offer(&self, shared: &Shared, value: &str) -> bool {
        self.take_up(shared, |tracker, now_us| tracker.offer(now_us, value))
    }

    /// Takes up the record of the next version.
    fn offer_record(&self, shared: &Shared, value: &str) -> bool {
        self.take_up(shared, |tracker, now_us| {
            let view = shared.view.load();
            tracker.offer_record(now_us, &view.config, value)
        })
    }

    fn confirm(&self, shared: &Shared) {
        let mut tracker = self.tracker.lock().unwrap_or_else(PoisonError::into_inner);
        tracker.confirm(shared.clock.now_us());
    }

    fn take_up<F>(&self, shared: &Shared, offer: F) -> bool
    where
        F: FnOnce(&mut Tracker, u64) -> OfferOutcome,
    {
        // Held while the configuration is put in force, so that two offers can't swap places.
        let mut tracker = self.tracker.lock().unwrap_or_else(PoisonError::into_inner);
        match offer(&mut tracker, shared.clock.now_us()) {
            OfferOutcome::Newer(config) => {
                let version = config.version;
                shared.configure(config);
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

/// Follows the configuration in the platform's table service.
pub(crate) async fn follow_releases(shared: Arc<Shared>, table: Box<dyn Table>) {
    let pause = Duration::from_millis(shared.host.store_poll_ms);
    let mut follower = Follower::default();
    let mut reachable = true;
    loop {
        let began_us = shared.clock.now_us();
        match follower.poll(&shared, table.as_ref()).await {
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
        // Polls at once after a pause of this process.
        let _ = tokio::time::timeout(pause, shared.peers.refresh.notified()).await;
    }
}

/// Reader of the release rows.
#[derive(Debug, Default)]
struct Follower {
    /// Table version up to which `release/current` is known.
    since_version: u64,
    /// Version of the configuration to which that belongs.
    version: u64,
    polls: u32,
}

impl Follower {
    /// Reads the rows once; any fault leaves the last good configuration in force.
    async fn poll(&mut self, shared: &Shared, table: &dyn Table) -> Result<(), StoreError> {
        let releases = &shared.releases;
        let mut is_complete = true;
        let (first, ..) = releases.status();
        if first > 0 {
            if first != self.version
                && let Some(row) = table.read(&record_key(first)).await?
            {
                // A peer was faster than the store; its version needs no second read.
                self.know(first, row.version);
            }
            let mut next = first + 1;
            while let Some(row) = table.read(&record_key(next)).await? {
                if !releases.offer_record(shared, &row.value) {
                    is_complete = false;
                    break;
                }
                self.know(next, row.version);
                next += 1;
            }
        }
        let skips_scan = is_complete && first > 0 && !self.polls.is_multiple_of(POLLS_PER_SCAN);
        self.polls = self.polls.wrapping_add(1);
        if skips_scan {
            return Ok(());
        }
        self.scan(shared, table).await
    }

    /// Notes that `release/current` is known up to the record of a version, which is written after
    /// `release/current` holds that version and before it holds the next one.
    fn know(&mut self, version: u64, row_version: u64) {
        self.version = version;
        self.since_version = self.since_version.max(row_version);
    }

    /// Reads `release/current` if it was written since it was last taken up.
    async fn scan(&mut self, shared: &Shared, table: &dyn Table) -> Result<(), StoreError> {
        let releases = &shared.releases;
        let rows = table.scan(CURRENT_KEY, self.since_version).await?;
        match rows.iter().find(|row| row.key == CURRENT_KEY) {
            Some(row) if releases.offer(shared, &row.value) => {
                self.since_version = row.version;
                self.version = releases.status().0;
            }
            None if self.since_version > 0 => releases.confirm(shared),
            Some(_) | None => {}
        }
        Ok(())
    }
}

#[cfg(test)]
#[path = "follow_tests.rs"]
mod tests;
