//! Fetches newer configurations from the peers that announce them.

use std::{sync::Arc, time::Duration};

use eyre::{Result, ensure};
use log::{debug, info, warn};
use peer::Frame;
use tokio::{net::TcpStream, sync::mpsc::Receiver, time::timeout};

use super::{
    Announcement,
    exchange::{CONFIG_MAX_BYTES, SMALL_MAX_BYTES, read_frame, write_frame},
};
use crate::shared::Shared;

/// Time limit of one fetch; after it, the configuration is fetched from another peer.
const FETCH_TIMEOUT: Duration = Duration::from_secs(5);

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
        if now_us < newest_announced.1 + wait_us {
            // This peer, or one in this region, will announce the version again.
            continue;
        }
        let fetched = timeout(FETCH_TIMEOUT, fetch(&shared, &announcement)).await;
        match fetched.unwrap_or_else(|limit| Err(limit.into())) {
            Ok(Some(value)) => {
                if apply(&shared, &value, peer) {
                    info!("release: took up what {peer} passed on");
                }
            }
            Ok(None) => {}
            Err(error) => debug!("peer: fetch from {peer} failed: {error}"),
        }
    }
}

/// Puts a fetched configuration in force if it is valid and newer.
fn apply(shared: &Shared, value: &str, peer: &str) -> bool {
    if !shared.is_routed() {
        return shared.release_state.offer(shared, value);
    }
    match serde_json::from_str(value) {
        Ok(config) => shared.cluster_state.offer_config(shared, config, peer),
        Err(error) => {
            warn!("config: ignored what {peer} passed on: {error}");
            false
        }
    }
}

/// Fetches a configuration from a peer; `None` if the peer has no newer one.
async fn fetch(shared: &Shared, announcement: &Announcement) -> Result<Option<String>> {
    let keys = &shared.peers.keys;
    let mut stream = TcpStream::connect(announcement.address).await?;
    let challenge = read_frame(&mut stream, keys, SMALL_MAX_BYTES).await?;
    ensure!(
        challenge.from == announcement.peer,
        "challenge from another peer"
    );
    let current_version = shared.snapshot.load().config.version;
    let request = Frame {
        from: shared.host.name.clone(),
        to: announcement.peer.clone(),
        echoed_nonce: challenge.nonce,
        nonce: rand::random(),
        body: postcard::to_stdvec(&current_version)?,
    };
    write_frame(&mut stream, keys, &request).await?;
    let response = read_frame(&mut stream, keys, CONFIG_MAX_BYTES).await?;
    ensure!(
        response.from == request.to
            && response.to == request.from
            && response.echoed_nonce == request.nonce,
        "answer to another request"
    );
    if response.body.is_empty() {
        return Ok(None);
    }
    Ok(Some(String::from_utf8(response.body)?))
}
