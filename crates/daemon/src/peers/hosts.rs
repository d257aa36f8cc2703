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

/// Pause between two looks whether a configuration is in force.
const CONFIG_PAUSE: Duration = Duration::from_millis(100);

/// Pause for each live daemon.
///
/// A list of 2,630 hosts is some 200 KB. With this pause the whole fleet reads it twice a second
/// at any size, and what one daemon sees reaches the others by rumor within seconds.
const PAUSE_MS_PER_DAEMON: u64 = 500;

/// Follows the platform's host list.
pub(crate) async fn follow_hosts(shared: Arc<Shared>, hosts: Box<dyn HostList>) {
    let mut reachable = true;
    // The list does not tell whose a host is: only the configuration tells upstreams from daemons.
    while shared.view.load().config.version == 0 {
        sleep(CONFIG_PAUSE).await;
    }
    loop {
        match hosts.list().await {
            Ok(list) => {
                take_up(&shared, &list);
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
        // Spread over the fleet by chance, so that reads don't fall together.
        let pause_ms = rand::rng().random_range(pause_ms / 2..=pause_ms);
        sleep(Duration::from_millis(pause_ms)).await;
    }
}

fn take_up(shared: &Shared, list: &[HostEntry]) {
    let view = shared.view.load_full();
    let mut seeds = Vec::new();
    let mut leaving = Vec::new();
    for host in list {
        let is_leaving = host.state == HostState::Leaving;
        let mut upstreams = view
            .config
            .upstreams
            .iter()
            .filter(|upstream| upstream.name == host.name || upstream.address == host.address);
        if let Some(upstream) = upstreams.next() {
            if is_leaving {
                leaving.push(upstream.name.clone());
            }
        } else {
            seeds.push(ListedHost::new(&host.name, host.address).with_leaving(is_leaving));
        }
    }
    let now_us = shared.clock.now_us();
    shared.peers.with(|membership| {
        membership.set_hosts(&seeds);
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
