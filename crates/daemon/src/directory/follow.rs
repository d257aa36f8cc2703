//! Tasks that poll the platform's store for the configuration, the upstreams and the daemons.

use std::{sync::Arc, time::Duration};

use log::{info, warn};
use rand::RngExt as _;
use store::StoreError;
use tokio::{
    sync::watch,
    time::{Instant, sleep, timeout},
};

use super::{Source, cluster_state::Read};
use crate::{
    adapter::{ListedHost, StoreAdapter},
    shared::Shared,
};

/// Pause after the first failed read; doubled with each further one, so that a store that refuses
/// requests is not overloaded.
const RETRY_MIN_MS: u64 = 200;

/// Longest pause after a failed read.
const RETRY_MAX_MS: u64 = 800;

/// Longest pause between two reads of the list of daemons. It can be long because daemons pass on
/// to each other what one of them reads.
const DAEMONS_PAUSE: Duration = Duration::from_secs(20);

/// Pause after the first read of that list, which may be made while other daemons still start.
const FIRST_DAEMONS_PAUSE: Duration = Duration::from_secs(2);

/// Longest delay before a daemon registers again in a restored store, so that a large fleet doesn't
/// write all its rows at once.
const REGISTER_DELAY_MAX_MS: u64 = 2_000;

/// Time that a followed daemon has to read the store again after an outage, and to pass it on: its
/// longest pause after a failed read, the read, and an interval of its updates at most.
const PARENT_LEAD_MS: u64 = 1_500;

/// Longest time for which a read of the configuration waits for one of the upstreams to succeed.
const RETURN_WAIT: Duration = Duration::from_secs(1);

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

/// Follows the configuration in the store by long polls, unless another daemon is the source; a
/// pending poll is restarted when the store is reachable again.
pub(crate) async fn follow_config(shared: Arc<Shared>, store: Box<dyn StoreAdapter>) {
    let state = &shared.cluster_state;
    let mut reachability = Reachability::new("config");
    let mut source = state.source();
    let wait = Duration::from_millis(shared.host.config_wait_ms());
    loop {
        if state.has_config() && wait_until(&mut source, |source| source != Source::Peer).await {
            reachability = Reachability::new("config");
        }
        let after = state.config_store_version();
        let answer = tokio::select! {
            answer = store.config(after, wait) => answer,
            () = state.store_returned.notified() => {
                leave_to_parent(&shared, &mut source).await;
                continue;
            }
        };
        match answer {
            Ok(read) => {
                reachability.record_success();
                if after.is_some() && read.is_whole {
                    shared.metrics.record_lost_history("config");
                }
                state.apply_config(&shared, read);
            }
            Err(error) => {
                state.record_failure(Read::Config);
                let mut reads = state.upstream_reads();
                reachability.back_off(&error).await;
                // The store seems to be away as a whole. Whether it is back shows by a small read.
                if state.has_parent() && state.has_config() && state.is_failing_upstreams() {
                    let returned = timeout(RETURN_WAIT, reads.changed()).await;
                    if returned.is_ok() {
                        leave_to_parent(&shared, &mut source).await;
                    }
                }
            }
        }
    }
}

/// Gives a daemon that is followed the time to pass on what it reads after an outage of the store.
/// Large configurations that all daemons read at once fill the links between regions for seconds.
async fn leave_to_parent(shared: &Shared, source: &mut watch::Receiver<Source>) {
    let state = &shared.cluster_state;
    if state.has_parent() && state.has_config() {
        let is_peer = source.wait_for(|&source| source == Source::Peer);
        // Ends without a parent that is in order: the store is asked then.
        let _ = timeout(with_jitter(PARENT_LEAD_MS), is_peer).await;
    }
}

/// Follows the list of upstreams in the store by long polls with pauses, in which changes add up,
/// unless another daemon is the source.
pub(crate) async fn follow_upstreams(shared: Arc<Shared>, store: Box<dyn StoreAdapter>) {
    let state = &shared.cluster_state;
    let mut reachability = Reachability::new("upstreams");
    let mut source = state.source();
    let longest_wait = Duration::from_millis(shared.host.upstream_wait_ms());
    let mut wait = longest_wait;
    loop {
        if wait_until(&mut source, |source| source == Source::Store).await {
            reachability = Reachability::new("upstreams");
        }
        let after = state.upstreams_store_version();
        match store.upstreams(after, wait).await {
            Ok(read) => {
                if after.is_some() && read.is_whole {
                    shared.metrics.record_lost_history("upstreams");
                }
                let is_restored = after.is_some_and(|after| read.store_version.era > after.era);
                if reachability.record_success() || is_restored {
                    state.store_returned.notify_waiters();
                }
                let grace = state.apply_upstreams(&shared, read);
                let pause = with_jitter(shared.host.upstream_pause_ms());
                let pause = grace.map_or(pause, |grace| grace.min(pause));
                sleep(pause).await;
                // Upstreams that are still missing at the end of the grace period are dropped then.
                let rest = grace.map(|grace| grace.saturating_sub(pause));
                wait = rest.map_or(longest_wait, |rest| rest.min(longest_wait));
            }
            Err(error) => {
                state.record_failure(Read::Upstreams);
                reachability.back_off(&error).await;
            }
        }
    }
}

/// Registers this daemon, then polls the list of the daemons of its zone. The daemon that follows no
/// other one also reads those of the other zones; the rest hear of them from it. Registers again
/// when the store has come back from an older copy, which may lack the row.
pub(crate) async fn follow_daemons(shared: Arc<Shared>, store: Box<dyn StoreAdapter>) {
    let mut reachability = Reachability::new("daemons");
    let mut era = shared.cluster_state.era();
    loop {
        let registered_era = *era.borrow();
        register(&shared, &*store, &mut reachability).await;
        tokio::select! {
            () = wait_for_restore(&mut era, registered_era) => {}
            () = poll_daemons(&shared, &*store, &mut reachability) => {}
        }
        let delay_ms = rand::rng().random_range(0..=REGISTER_DELAY_MAX_MS);
        sleep(Duration::from_millis(delay_ms)).await;
    }
}

/// Waits until the store has come back from an older copy since it had this era.
async fn wait_for_restore(era: &mut watch::Receiver<Option<u64>>, since: Option<u64>) {
    // Both fail only when the daemon ends, and with it this task.
    let first = era.wait_for(Option::is_some).await.map(|era| *era);
    let since = since.or(first.unwrap_or_default());
    let _ = era.wait_for(|era| *era > since).await;
}

async fn register(shared: &Shared, store: &dyn StoreAdapter, reachability: &mut Reachability) {
    let host = &shared.host;
    let own = ListedHost::new(&host.name, host.peer_listen).with_locality(&host.region, &host.zone);
    while let Err(error) = store.register(&own).await {
        reachability.back_off(&error).await;
    }
    info!("directory: registered name={}", host.name);
}

/// Polls the list of the other daemons.
async fn poll_daemons(shared: &Shared, store: &dyn StoreAdapter, reachability: &mut Reachability) {
    let mut pause = FIRST_DAEMONS_PAUSE;
    loop {
        match read_daemons(shared, store).await {
            Ok(count) => {
                reachability.record_success();
                sleep(with_jitter(millis(pause))).await;
                pause = DAEMONS_PAUSE.min(FIRST_DAEMONS_PAUSE + Duration::from_secs(count as u64));
            }
            Err(error) => reachability.back_off(&error).await,
        }
    }
}

/// Reads the lists of daemons that concern this one, and returns how many there are.
async fn read_daemons(shared: &Shared, store: &dyn StoreAdapter) -> Result<usize, StoreError> {
    let host = &shared.host;
    let mut listed = store.daemons(&host.zone).await?;
    listed.retain(|daemon| daemon.name != host.name);
    let follows_another = shared.peers.with(|membership| {
        membership.set_hosts(&listed);
        membership.tree_parent(|_| false).is_some()
    });
    shared.cluster_state.has_listed_daemons.send_replace(true);
    if !follows_another {
        let others = host.zones.iter().filter(|other| other.zone != host.zone);
        for other in others {
            listed.extend(store.daemons(&other.zone).await?);
        }
        shared
            .peers
            .with(|membership| membership.set_hosts(&listed));
    }
    Ok(listed.len())
}

/// Waits until the source meets a condition; returns whether it had to wait.
async fn wait_until<F>(source: &mut watch::Receiver<Source>, condition: F) -> bool
where
    F: Fn(Source) -> bool,
{
    let waits = !condition(*source.borrow_and_update());
    // Fails only when the daemon ends, and with it this task.
    let _ = source.wait_for(|&source| condition(source)).await;
    waits
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Varies a pause by up to 10 %, so that the daemons' reads don't coincide.
fn with_jitter(pause_ms: u64) -> Duration {
    let pause_ms = rand::rng().random_range(pause_ms * 9 / 10..=pause_ms * 11 / 10);
    Duration::from_millis(pause_ms)
}
