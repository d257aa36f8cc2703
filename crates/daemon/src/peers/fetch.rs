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

/// Time limit of one fetch; another peer is asked after it.
const FETCH_MAX: Duration = Duration::from_secs(5);

/// Fetches newer configurations from the peers that announce them.
pub(crate) async fn fetch_configs(shared: Arc<Shared>, mut announcements: Receiver<Announcement>) {
    // Version that was last heard of, and when it was.
    let mut heard = (0, 0);
    while let Some(announcement) = announcements.recv().await {
        let version = announcement.version;
        if version <= shared.view.load().config.version {
            continue;
        }
        let now_us = shared.clock.now_us();
        if version > heard.0 {
            heard = (version, now_us);
        }
        let peer = &announcement.peer;
        let wait_us = shared
            .peers
            .with(|membership| membership.fetch_wait_us(peer, version));
        if now_us < heard.1 + wait_us {
            // The peer announces the version again, or one of this region does.
            continue;
        }
        let fetched = timeout(FETCH_MAX, fetch(&shared, &announcement)).await;
        match fetched.unwrap_or_else(|limit| Err(limit.into())) {
            Ok(Some(value)) => {
                if take_up(&shared, &value, peer) {
                    info!("release: took up what {peer} passed on");
                }
            }
            Ok(None) => {}
            Err(error) => debug!("peer: fetch from {peer} failed: {error}"),
        }
    }
}

/// Puts a fetched configuration in force if it is whole and newer.
fn take_up(shared: &Shared, value: &str, peer: &str) -> bool {
    if !shared.is_routed() {
        return shared.releases.offer(shared, value);
    }
    match serde_json::from_str(value) {
        Ok(config) => shared.cluster_state.offer_config(shared, config, peer),
        Err(error) => {
            warn!("config: ignored what {peer} passed on: {error}");
            false
        }
    }
}

async fn fetch(shared: &Shared, announcement: &Announcement) -> Result<Option<String>> {
    let keys = &shared.peers.keys;
    let mut stream = TcpStream::connect(announcement.address).await?;
    let challenge = read_frame(&mut stream, keys, SMALL_MAX_BYTES).await?;
    ensure!(challenge.from == announcement.peer, "another peer");
    let held = shared.view.load().config.version;
    let request = Frame {
        from: shared.host.name.clone(),
        to: announcement.peer.clone(),
        answers: challenge.nonce,
        nonce: rand::random(),
        body: postcard::to_stdvec(&held)?,
    };
    write_frame(&mut stream, keys, &request).await?;
    let answer = read_frame(&mut stream, keys, CONFIG_MAX_BYTES).await?;
    ensure!(
        answer.from == request.to && answer.to == request.from && answer.answers == request.nonce,
        "answer to another request"
    );
    if answer.body.is_empty() {
        return Ok(None);
    }
    Ok(Some(String::from_utf8(answer.body)?))
}
