//! Fetches newer configurations from the peers that announce them.

use std::{sync::Arc, time::Duration};

use eyre::{Result, ensure};
use log::{debug, info};
use tokio::{sync::mpsc::Receiver, time::timeout};

use super::{
    Announcement,
    exchange::{CONFIG_MAX_BYTES, read_frame},
    updates::{UpdateStream, request},
};
use crate::shared::Shared;

/// Time limit of one fetch; after it, the configuration is fetched from another peer.
const FETCH_TIMEOUT: Duration = Duration::from_secs(5);

/// Time for which a version that another daemon announces is left to the daemon's own source.
const TREE_LEAD_US: u64 = 1_500_000;

/// Fetches newer configurations from the peers that announce them.
pub(crate) async fn fetch_configs(shared: Arc<Shared>, mut announcements: Receiver<Announcement>) {
    // Newest announced version, and the time of its first announcement.
    let mut newest_announced = (0, 0);
    while let Some(announcement) = announcements.recv().await {
        let version = announcement.version;
        if version <= shared.snapshot.load().config.version {
            continue;
        }
        let now_us = shared.clock.now_us();
        if version > newest_announced.0 {
            newest_announced = (version, now_us);
        }
        let peer = &announcement.peer;
        let wait_us = shared
            .peers
            .with(|membership| membership.fetch_delay_us(peer, version));
        let wait_us = if shared.is_routed() {
            wait_us.max(TREE_LEAD_US)
        } else {
            wait_us
        };
        if now_us < newest_announced.1 + wait_us {
            // This peer, or one in this region, will announce the version again.
            continue;
        }
        let fetched = timeout(FETCH_TIMEOUT, fetch(&shared, &announcement)).await;
        match fetched.unwrap_or_else(|limit| Err(limit.into())) {
            Ok(true) => info!("release: took up what {peer} passed on"),
            Ok(false) => {}
            Err(error) => debug!("peer: fetch from {peer} failed: {error}"),
        }
    }
}

/// Fetches a configuration from a peer and puts it in force; returns whether it is newer.
async fn fetch(shared: &Shared, announcement: &Announcement) -> Result<bool> {
    let (peer, address) = (&announcement.peer, announcement.address);
    if !shared.is_routed() {
        let value = fetch_release(shared, announcement).await?;
        return Ok(value.is_some_and(|value| shared.release_state.offer(shared, &value)));
    }
    let before = shared.snapshot.load().config.version;
    let subscription = shared.cluster_state.subscription(true);
    let mut updates = UpdateStream::open(shared, peer, address, &subscription).await?;
    let update = updates.next(FETCH_TIMEOUT).await?;
    shared.cluster_state.apply_update(shared, update, peer);
    Ok(shared.snapshot.load().config.version > before)
}

/// Fetches a release from a peer; `None` if the peer has no newer one.
async fn fetch_release(shared: &Shared, announcement: &Announcement) -> Result<Option<String>> {
    let keys = &shared.peers.keys;
    let body = postcard::to_stdvec(&shared.snapshot.load().config.version)?;
    let (peer, address) = (&announcement.peer, announcement.address);
    let (mut stream, nonce) = request(shared, peer, address, body).await?;
    let response = read_frame(&mut stream, keys, CONFIG_MAX_BYTES).await?;
    ensure!(
        response.from == *peer && response.to == shared.host.name && response.echoed_nonce == nonce,
        "answer to another request"
    );
    if response.body.is_empty() {
        return Ok(None);
    }
    Ok(Some(String::from_utf8(response.body)?))
}
