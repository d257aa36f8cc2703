//! Announces this daemon's load on engines to other daemons.

use std::{sync::Arc, time::Duration};

use log::debug;
use rand::seq::IndexedRandom as _;

use crate::{shared::Shared, sharing::Message};

/// Interval between announcements of this daemon's load on engines. An engine processes a prompt in
/// some hundred milliseconds, so older announcements are of little use.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(250);

/// Largest number of daemons that receive each announcement, so that the traffic of one daemon does
/// not grow with the size of the cluster.
const RECIPIENTS_MAX: usize = 8;

/// Announces this daemon's load on engines to others, and passes their loads to the dispatcher.
pub(crate) async fn announce_loads(shared: Arc<Shared>) {
    let mut was_idle = true;
    loop {
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
        let loads = shared.with_core(|now_us, core| {
            core.sharing.peer_loads.expire(now_us);
            core.dispatcher
                .apply_peer_loads(now_us, &core.sharing.peer_loads);
            core.dispatcher.load_announcement(now_us)
        });
        let idle = loads.is_idle();
        if idle && was_idle {
            continue;
        }
        was_idle = idle;
        match postcard::to_stdvec(&Message::Loads(loads)) {
            Ok(bytes) => announce(&shared, &bytes),
            Err(error) => debug!("load: message dropped: {error}"),
        }
    }
}

/// Queues a message to randomly chosen live daemons.
fn announce(shared: &Shared, bytes: &[u8]) {
    shared.peers.with(|membership| {
        let live: Vec<String> = membership
            .live()
            .map(|member| member.name.clone())
            .collect();
        for peer in live.sample(&mut rand::rng(), RECIPIENTS_MAX) {
            membership.queue_payload(peer, bytes.to_vec());
        }
    });
}
