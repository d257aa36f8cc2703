use std::{sync::Arc, time::Duration};

use log::{info, warn};
use rand::RngExt as _;
use store::StoreError;
use tokio::time::sleep;

use crate::{adapter::StoreAdapter, shared::Shared};

/// Pause after a failed read; doubled up to the longest one, so that a store that refuses is not
/// pressed.
const RETRY_MS: u64 = 200;
const RETRY_MAX_MS: u64 = 800;

/// Longest pause between two reads of the list of daemons; what one of them reads the others learn
/// from it.
const DAEMONS_PAUSE: Duration = Duration::from_secs(20);

/// Whether a dependency answers, logged when it changes.
struct Reach {
    what: &'static str,
    failures: u32,
}

impl Reach {
    const fn new(what: &'static str) -> Self {
        Self { what, failures: 0 }
    }

    /// Notes a success; returns whether it is the first one after failures.
    fn note_success(&mut self) -> bool {
        let regained = self.failures > 0;
        if regained {
            info!(
                "store: regained read={} failures={}",
                self.what, self.failures
            );
        }
        self.failures = 0;
        regained
    }

    /// Notes a failure and waits before the next try.
    async fn wait(&mut self, error: &StoreError) {
        if self.failures == 0 {
            warn!("store: lost read={} error={error:?}", self.what);
        }
        self.failures = self.failures.saturating_add(1);
        let pause_ms = RETRY_MS << (self.failures - 1).min(2);
        sleep(spread(pause_ms.min(RETRY_MAX_MS))).await;
    }
}

/// Follows the configuration; a read that is held back is begun anew when the store returns.
pub(crate) async fn follow_config(shared: Arc<Shared>, mut directory: Box<dyn StoreAdapter>) {
    let mut reach = Reach::new("config");
    loop {
        let answer = tokio::select! {
            answer = directory.config() => answer,
            () = shared.fleet.store_returned.notified() => continue,
        };
        match answer {
            Ok(config) => {
                reach.note_success();
                if let Some(config) = config {
                    shared.fleet.offer_config(&shared, config, "store");
                }
            }
            Err(error) => reach.wait(&error).await,
        }
    }
}

/// Follows the list of upstreams.
pub(crate) async fn follow_upstreams(shared: Arc<Shared>, directory: Box<dyn StoreAdapter>) {
    let mut reach = Reach::new("upstreams");
    loop {
        match directory.upstreams().await {
            Ok(listed) => {
                if reach.note_success() {
                    shared.fleet.store_returned.notify_waiters();
                }
                let settles = shared.fleet.offer_upstreams(&shared, listed);
                let pause = spread(shared.host.upstream_poll_ms());
                sleep(settles.map_or(pause, |settles| settles.min(pause))).await;
            }
            Err(error) => {
                shared.fleet.note_failure();
                reach.wait(&error).await;
            }
        }
    }
}

/// Registers this daemon and follows the list of the others.
pub(crate) async fn follow_daemons(shared: Arc<Shared>, directory: Box<dyn StoreAdapter>) {
    let mut reach = Reach::new("daemons");
    let address = shared.host.peer_listen;
    while let Err(error) = directory.register(&shared.host.name, address).await {
        reach.wait(&error).await;
    }
    loop {
        match directory.daemons().await {
            Ok(hosts) => {
                reach.note_success();
                let seeds: Vec<peer::ListedHost> = hosts
                    .iter()
                    .filter(|host| host.name != shared.host.name)
                    .map(|host| peer::ListedHost::new(&host.name, host.address))
                    .collect();
                shared.peers.with(|membership| membership.set_hosts(&seeds));
                sleep(DAEMONS_PAUSE.min(Duration::from_secs(2 + seeds.len() as u64))).await;
            }
            Err(error) => reach.wait(&error).await,
        }
    }
}

/// Returns a pause around a length, so that the reads of a fleet don't fall together.
fn spread(pause_ms: u64) -> Duration {
    let pause_ms = rand::rng().random_range(pause_ms * 9 / 10..=pause_ms * 11 / 10);
    Duration::from_millis(pause_ms)
}
