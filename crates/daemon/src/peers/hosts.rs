//! Reads the platform's host list to find the other daemons and the upstreams that leave.

use std::{sync::Arc, time::Duration};

use log::warn;
use peer::ListedHost;
use rand::RngExt as _;
use store::{HostEntry, HostList, HostState};
use tokio::time::sleep;

use crate::shared::Shared;

/// Shortest pause between two reads of the host list.
const PAUSE_MIN_MS: u64 = 2_000;

/// Longest pause between two reads of the host list.
const PAUSE_MAX_MS: u64 = 180_000;

/// Interval between checks whether a configuration is in force.
const CONFIG_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Pause between two reads of the host list per live daemon.
///
/// A list of 2,630 hosts is some 200 KB. With this pause, all daemons together read it about twice
/// a second at any cluster size; what one daemon reads reaches the others by gossip within seconds.
const PAUSE_MS_PER_DAEMON: u64 = 500;

/// Polls the platform's host list.
pub(crate) async fn follow_hosts(shared: Arc<Shared>, hosts: Box<dyn HostList>) {
    let mut reachable = true;
    // The host list does not distinguish upstreams from daemons; only the configuration does.
    while shared.snapshot.load().config.version == 0 {
        sleep(CONFIG_POLL_INTERVAL).await;
    }
    loop {
        match hosts.list().await {
            Ok(list) => {
                apply(&shared, &list);
                reachable = true;
            }
            Err(error) => {
                if reachable {
                    warn!("peer: host list can't be read: {error}");
                }
                reachable = false;
            }
        }
        let live = shared
            .peers
            .with(|membership| membership.live().count() as u64 + 1);
        let pause_ms = (live * PAUSE_MS_PER_DAEMON).clamp(PAUSE_MIN_MS, PAUSE_MAX_MS);
        // Random jitter, so that the daemons' reads don't coincide.
        let pause_ms = rand::rng().random_range(pause_ms / 2..=pause_ms);
        sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// Passes listed daemons to the membership, and leaving upstreams to membership and dispatcher.
fn apply(shared: &Shared, list: &[HostEntry]) {
    let snapshot = shared.snapshot.load_full();
    let mut listed_daemons = Vec::new();
    let mut leaving = Vec::new();
    for host in list {
        let is_leaving = host.state == HostState::Leaving;
        let mut upstreams = snapshot
            .config
            .upstreams
            .iter()
            .filter(|upstream| upstream.name == host.name || upstream.address == host.address);
        if let Some(upstream) = upstreams.next() {
            if is_leaving {
                leaving.push(upstream.name.clone());
            }
        } else {
            listed_daemons.push(ListedHost::new(&host.name, host.address).with_leaving(is_leaving));
        }
    }
    let now_us = shared.clock.now_us();
    shared.peers.with(|membership| {
        membership.set_hosts(&listed_daemons);
        for upstream in &leaving {
            membership.add_leaving(now_us, upstream);
        }
    });
    shared.with_core(|_, core| {
        for upstream in &leaving {
            core.dispatcher.set_leaving(upstream);
        }
    });
}
