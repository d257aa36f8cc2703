use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use log::{info, warn};
use release::{CURRENT, Taken, Tracker};
use store::{StoreError, Table};

use crate::shared::Shared;

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
    /// Returns whether another version is in force afterwards.
    pub(crate) fn offer(&self, shared: &Shared, value: &str) -> bool {
        // Held while the configuration is put in force, so that two offers can't swap places.
        let mut tracker = self.tracker.lock().unwrap_or_else(PoisonError::into_inner);
        match tracker.offer(shared.clock.now_us(), value) {
            Taken::Newer(config) => {
                let version = config.version;
                shared.configure(config);
                info!("release: version {version} in force");
                true
            }
            Taken::Same => false,
            Taken::Older => {
                info!("release: ignored an older version");
                false
            }
            Taken::Faulty(reason) => {
                warn!("release: ignored a faulty configuration: {reason}");
                false
            }
        }
    }
}

/// Follows the configuration in the platform's table service.
pub(crate) async fn follow_releases(shared: Arc<Shared>, table: Box<dyn Table>) {
    let pause = Duration::from_millis(shared.host.store_poll_ms);
    let mut reachable = true;
    loop {
        match poll(&shared, table.as_ref()).await {
            Ok(()) => reachable = true,
            Err(error) => {
                if reachable {
                    warn!("release: poll failed: {error}");
                }
                reachable = false;
            }
        }
        tokio::time::sleep(pause).await;
    }
}

/// Reads the row once; any fault leaves the last good configuration in force.
async fn poll(shared: &Shared, table: &dyn Table) -> Result<(), StoreError> {
    if let Some(row) = table.read(CURRENT).await? {
        shared.releases.offer(shared, &row.value);
    }
    Ok(())
}

#[cfg(test)]
#[path = "follow_tests.rs"]
mod tests;
