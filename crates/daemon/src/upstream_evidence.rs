//! Exchange of evidence about upstreams that can't be reached with the other daemons.

use std::{sync::Arc, time::Duration};

use health::Message;
use log::{debug, info};
use rand::{RngExt as _, seq::IndexedRandom as _};

use crate::{shared::Shared, sharing::Message as PeerMessage};

/// Time in which observations are collected into one message.
const COLLECT: Duration = Duration::from_millis(20);

/// Longest additional random delay. Whoever hears of a dead upstream from others in the meantime
/// doesn't find out by an attempt of its own.
const DELAY_MAX_MS: u64 = 30;

/// Interval at which lapsed complaints are forgotten.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// Largest number of daemons that receive each message, so that its bytes don't grow with the size
/// of the cluster: 64 datagrams of at most 200 bytes fit into the burst of urgent payloads. In larger
/// clusters more daemons use each upstream, and so more of them tell.
const RECIPIENTS_MAX: usize = 64;

/// Tells the other daemons which upstreams this one can't reach, and forgets what has lapsed.
pub(crate) async fn exchange_upstream_evidence(shared: Arc<Shared>) {
    loop {
        let news = shared.upstream_evidence.notified();
        let has_news = tokio::time::timeout(EXPIRY_INTERVAL, news).await.is_ok();
        let lapsed = shared.with_core(|now_us, core| core.dispatcher.expire_complaints(now_us));
        if lapsed > 0 {
            shared.metrics.record_complaints_lapsed(lapsed);
        }
        if !has_news {
            continue;
        }
        let delay_ms = rand::rng().random_range(0..=DELAY_MAX_MS);
        tokio::time::sleep(COLLECT + Duration::from_millis(delay_ms)).await;
        let message = shared.with_core(|now_us, core| core.dispatcher.take_complaints(now_us));
        if let Some(message) = message {
            tell(&shared, &message);
        }
    }
}

/// Weighs a message of another daemon.
pub(crate) fn receive(shared: &Shared, from: &str, message: &Message) {
    shared
        .metrics
        .record_complaints_heard(message.complaints.len());
    let down =
        shared.with_core(|now_us, core| core.dispatcher.receive_complaints(now_us, from, message));
    for upstream in &down {
        info!("upstream: out of service name={upstream} reported_by={from}");
    }
    shared.metrics.record_complaints_followed(down.len());
}

/// Queues a message to randomly chosen live daemons.
fn tell(shared: &Shared, message: &Message) {
    let bytes = match postcard::to_stdvec(&PeerMessage::Health(message.clone())) {
        Ok(bytes) => bytes,
        Err(error) => {
            debug!("upstream: message dropped: {error}");
            return;
        }
    };
    let told = shared.peers.with(|membership| {
        let live: Vec<String> = membership
            .live()
            .map(|member| member.name.clone())
            .collect();
        let recipients = live.sample(&mut rand::rng(), RECIPIENTS_MAX);
        let told = recipients.len();
        for peer in recipients {
            membership.queue_urgent_payload(peer, bytes.clone());
        }
        told
    });
    shared
        .metrics
        .record_complaints_told(message.complaints.len());
    for complaint in &message.complaints {
        info!(
            "upstream: not reachable, told to {told} hosts upstream={:016x} symptom={:?} silent_ms={}",
            complaint.upstream, complaint.symptom, complaint.silent_ms
        );
    }
}
