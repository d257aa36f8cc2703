//! Task that follows another daemon instead of the store.
//!
//! The daemons of an availability zone form a tree ([`peer::Membership::tree_parent`]). Its root asks
//! the store; every other daemon holds a connection to its parent, which tells it all changes as
//! they come. A daemon asks the store itself as soon as its parent is silent or can't reach the
//! store, so that it learns nothing later than if it had always done so.

use std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration};

use eyre::{Result, ensure};
use log::info;
use tokio::time::{Instant, sleep, timeout};

use super::Source;
use crate::{peers::UpdateStream, shared::Shared};

/// Time without a byte after which the parent counts as lost: two intervals of its updates, and a
/// delay.
const SILENCE_MAX: Duration = Duration::from_millis(1_700);

/// Time after which a daemon that has no list of upstreams yet stops waiting for its parent's, or
/// for the list of the other daemons.
const START_PATIENCE: Duration = Duration::from_secs(3);

/// Time for which a lost parent is not followed again.
const AVOID_TIME: Duration = Duration::from_secs(10);

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
        let Some((name, address)) = parent else {
            state.set_source(Source::Store);
            sleep(REVIEW_INTERVAL).await;
            continue;
        };
        let Err(error) = follow(&shared, &name, address).await;
        info!(
            "directory: parent lost name={name} detail={:?}",
            error.to_string()
        );
        avoided.push((name, Instant::now() + AVOID_TIME));
        if state.upstreams_store_version().is_some() || began.elapsed() >= START_PATIENCE {
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
    let mut updates = timeout(SILENCE_MAX, opened).await??;
    info!("directory: parent found name={name}");
    let mut grace = None;
    loop {
        let update = tokio::select! {
            update = updates.next(SILENCE_MAX) => update?,
            () = sleep(grace.unwrap_or(Duration::MAX)), if grace.is_some() => {
                // Nothing has to change for a grace period to end.
                grace = state.end_grace(shared);
                continue;
            }
        };
        let is_failing = update.is_failing;
        grace = state.apply_update(shared, update, name);
        if state.upstreams_store_version().is_some() {
            state.set_source(if is_failing {
                Source::Store
            } else {
                Source::Peer
            });
        } else {
            ensure!(began.elapsed() < START_PATIENCE, "no list of upstreams");
        }
    }
}
