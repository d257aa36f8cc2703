//! Tasks that poll the platform's store for the configuration, the upstreams and the daemons.

use std::{sync::Arc, time::Duration};

use log::{info, warn};
use rand::RngExt as _;
use store::StoreError;
use tokio::time::{Instant, sleep};

use crate::{adapter::StoreAdapter, shared::Shared};

/// Pause after the first failed read; doubled with each further one, so that a store that refuses
/// requests is not overloaded.
const RETRY_MIN_MS: u64 = 200;

/// Longest pause after a failed read.
const RETRY_MAX_MS: u64 = 800;

/// Longest pause between two reads of the list of daemons. It can be long because daemons pass on
/// to each other what one of them reads.
const DAEMONS_PAUSE: Duration = Duration::from_secs(20);

/// Tracks whether reads of one kind succeed, and logs when that changes.
struct Reachability {
    read: &'static str,
    failures: u32,
    /// Time of the first failure since the last success.
    lost_at: Option<Instant>,
}

impl Reachability {
    const fn new(read: &'static str) -> Self {
        Self {
            read,
            failures: 0,
            lost_at: None,
        }
    }

    /// Records a success; returns whether it is the first one after failures.
    fn record_success(&mut self) -> bool {
        let lost_at = self.lost_at.take();
        if let Some(lost_at) = lost_at {
            info!(
                "store: regained read={} failures={} lost_ms={}",
                self.read,
                self.failures,
                lost_at.elapsed().as_millis()
            );
        }
        self.failures = 0;
        lost_at.is_some()
    }

    /// Records a failure and waits before the next attempt.
    async fn back_off(&mut self, error: &StoreError) {
        if self.lost_at.is_none() {
            self.lost_at = Some(Instant::now());
            warn!("store: lost read={} error={error:?}", self.read);
        }
        self.failures = self.failures.saturating_add(1);
        let pause_ms = RETRY_MIN_MS << (self.failures - 1).min(2);
        sleep(with_jitter(pause_ms.min(RETRY_MAX_MS))).await;
    }
}

/// Follows the configuration by long polls; a pending one is restarted when the store is reachable
/// again.
pub(crate) async fn follow_config(shared: Arc<Shared>, mut store: Box<dyn StoreAdapter>) {
    let mut reachability = Reachability::new("config");
    let wait = Duration::from_millis(shared.host.config_wait_ms());
    loop {
        let answer = tokio::select! {
            answer = store.config(wait) => answer,
            () = shared.cluster_state.store_returned.notified() => continue,
        };
        match answer {
            Ok(config) => {
                reachability.record_success();
                if let Some(config) = config {
                    shared.cluster_state.offer_config(&shared, config, "store");
                }
            }
            Err(error) => reachability.back_off(&error).await,
        }
    }
}

/// Follows the list of upstreams by long polls with pauses, in which changes add up.
pub(crate) async fn follow_upstreams(shared: Arc<Shared>, mut store: Box<dyn StoreAdapter>) {
    let mut reachability = Reachability::new("upstreams");
    let wait = Duration::from_millis(shared.host.upstream_wait_ms());
    loop {
        match store.upstreams(wait).await {
            Ok(listed) => {
                if reachability.record_success() {
                    shared.cluster_state.store_returned.notify_waiters();
                }
                let grace = shared.cluster_state.update_upstreams(&shared, listed);
                let pause = with_jitter(shared.host.upstream_pause_ms());
                sleep(grace.map_or(pause, |grace| grace.min(pause))).await;
            }
            Err(error) => {
                shared.cluster_state.record_failure();
                reachability.back_off(&error).await;
            }
        }
    }
}

/// Registers this daemon, then polls the list of the other daemons.
pub(crate) async fn follow_daemons(shared: Arc<Shared>, store: Box<dyn StoreAdapter>) {
    let mut reachability = Reachability::new("daemons");
    let address = shared.host.peer_listen;
    while let Err(error) = store.register(&shared.host.name, address).await {
        reachability.back_off(&error).await;
    }
    loop {
        match store.daemons().await {
            Ok(hosts) => {
                reachability.record_success();
                let listed_daemons: Vec<peer::ListedHost> = hosts
                    .iter()
                    .filter(|host| host.name != shared.host.name)
                    .map(|host| peer::ListedHost::new(&host.name, host.address))
                    .collect();
                shared
                    .peers
                    .with(|membership| membership.set_hosts(&listed_daemons));
                sleep(DAEMONS_PAUSE.min(Duration::from_secs(2 + listed_daemons.len() as u64)))
                    .await;
            }
            Err(error) => reachability.back_off(&error).await,
        }
    }
}

/// Varies a pause by up to 10 %, so that the daemons' reads don't coincide.
fn with_jitter(pause_ms: u64) -> Duration {
    let pause_ms = rand::rng().random_range(pause_ms * 9 / 10..=pause_ms * 11 / 10);
    Duration::from_millis(pause_ms)
}
