//! Task that follows another daemon instead of the store.
//!
//! The daemons of an availability zone form a tree ([`peer::Membership::tree_parent`]). Its root asks
//! the store; every other daemon holds a connection to its parent, which tells it all changes as
//! they come. A daemon asks the store itself as soon as its parent is silent or can't reach the
//! store, so that a parent in trouble delays it by less than a lost read of its own would.

use std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration};

use eyre::{Result, ensure};
use log::info;
use rand::RngExt as _;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use super::Source;
use crate::{peers::UpdateStream, shared::Shared};

/// Time without a byte after which the parent counts as lost: two intervals of its updates, and a
/// delay.
const SILENCE_MAX: Duration = Duration::from_millis(1_700);

/// Time limit for the connection to a parent. Addresses of hosts that are gone stay in the list of
/// daemons and don't answer.
const OPEN_TIMEOUT: Duration = Duration::from_millis(700);

/// Time for which a daemon that has just started waits for the list of the other daemons, and for a
/// parent that doesn't answer yet.
const START_PATIENCE: Duration = Duration::from_secs(2);

/// Time for which a daemon without a list of upstreams waits for that of a parent that reaches the
/// store. Many hosts that read it themselves would slow down the parent's read.
const LIST_PATIENCE: Duration = Duration::from_secs(10);

/// Time for which a lost parent is not followed again.
const AVOID_TIME: Duration = Duration::from_secs(10);

/// The same while this daemon starts, and others with it.
const START_AVOID_TIME: Duration = Duration::from_millis(200);

/// Longest time until a daemon asks the store because its parent can't reach it. Most parents have
/// read it again by then, and the others' followers don't ask all at once.
const FALLBACK_DELAY_MAX: Duration = Duration::from_millis(500);

/// Interval at which a daemon that asks the store looks for a parent.
const REVIEW_INTERVAL: Duration = Duration::from_secs(2);

/// Follows the parent in the tree, and makes it the source while it keeps up with the store.
pub(crate) async fn follow_peer(shared: Arc<Shared>) {
    let state = &shared.cluster_state;
    let began = Instant::now();
    let mut listed = state.has_listed_daemons.subscribe();
    let _ = timeout(START_PATIENCE, listed.wait_for(|&listed| listed)).await;
    // Parents that were lost, with the time until which they are avoided.
    let mut avoided: Vec<(String, Instant)> = Vec::new();
    loop {
        avoided.retain(|(_, until)| *until > Instant::now());
        let is_avoided = |name: &str| avoided.iter().any(|(avoided, _)| avoided == name);
        let parent = shared.peers.with(|membership| {
            let parent = membership.tree_parent(is_avoided)?;
            Some((parent.name.clone(), parent.address))
        });
        let is_starting =
            state.upstreams_store_version().is_none() && began.elapsed() < START_PATIENCE;
        let Some((name, address)) = parent else {
            if is_starting && !avoided.is_empty() {
                sleep(START_AVOID_TIME).await;
            } else {
                state.set_source(Source::Store);
                sleep(REVIEW_INTERVAL).await;
            }
            continue;
        };
        let Err(error) = follow(&shared, &name, address).await;
        state.set_has_parent(false);
        info!(
            "directory: parent lost name={name} detail={:?}",
            error.to_string()
        );
        // Daemons that were killed together start within a few hundred milliseconds of each other.
        let avoid_time = if is_starting {
            START_AVOID_TIME
        } else {
            AVOID_TIME
        };
        avoided.push((name, Instant::now() + avoid_time));
        if !is_starting {
            state.set_source(Source::Store);
        }
    }
}

/// Applies the updates of a parent until it is lost.
async fn follow(shared: &Shared, name: &str, address: SocketAddr) -> Result<Infallible> {
    let state = &shared.cluster_state;
    let began = Instant::now();
    let subscription = state.subscription(false);
    let opened = UpdateStream::open(shared, name, address, &subscription);
    let mut updates = timeout(OPEN_TIMEOUT, opened).await??;
    state.set_has_parent(true);
    info!("directory: parent found name={name}");
    let mut grace = None;
    // Time at which to ask the store, because the parent can't reach it.
    let mut fallback_at: Option<Instant> = None;
    loop {
        let update = tokio::select! {
            update = updates.next(SILENCE_MAX) => update?,
            () = sleep(grace.unwrap_or_default()), if grace.is_some() => {
                // Nothing has to change for a grace period to end.
                grace = state.end_grace(shared);
                continue;
            }
            () = sleep_until(fallback_at.unwrap_or(began)), if fallback_at.is_some() => {
                fallback_at = None;
                state.set_source(Source::Store);
                continue;
            }
        };
        let is_failing = update.is_failing;
        grace = state.apply_update(shared, update, name);
        let has_upstreams = state.upstreams_store_version().is_some();
        ensure!(
            has_upstreams || is_failing || began.elapsed() < LIST_PATIENCE,
            "no list of upstreams"
        );
        if !is_failing {
            fallback_at = None;
            if has_upstreams {
                state.set_source(Source::Peer);
            }
        } else if fallback_at.is_none() && *state.source().borrow() != Source::Store {
            let delay = rand::rng().random_range(Duration::ZERO..FALLBACK_DELAY_MAX);
            let delay = if has_upstreams { delay } else { START_PATIENCE };
            fallback_at = Some(Instant::now() + delay);
        }
    }
}
