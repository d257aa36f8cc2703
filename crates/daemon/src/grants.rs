//! Exchange of grants with the other daemons, by which they share the slots of engines.

use std::{sync::Arc, time::Duration};

use grant::Peer;
use log::debug;

use crate::{duties, prompt_evidence, shared::Shared, sharing::Message, upstream_evidence};

/// Interval between checks whether a report is due; reports are due every 200 to 900 ms.
const TICK: Duration = Duration::from_millis(50);

/// Reports this daemon's demand for engine slots to the other daemons at regular intervals.
pub(crate) async fn share_slots(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(TICK).await;
        let snapshot = shared.snapshot.load_full();
        if snapshot.config.version == 0 {
            continue;
        }
        let peers = shared.peers.with(|membership| {
            membership
                .live()
                .map(|member| Peer::new(&member.name, &member.region))
                .collect()
        });
        let messages = shared.with_core(|now_us, core| {
            core.sharing.assign(&snapshot.config, peers);
            let waiting = [0, 1, 2]
                .map(|tier| u32::try_from(core.dispatcher.queued(tier)).unwrap_or(u32::MAX));
            let messages = core.sharing.reports(now_us, waiting);
            core.apply_shares(now_us);
            messages
        });
        for (to, message) in messages {
            send(&shared, &to, &message);
        }
    }
}

/// Handles a message from another daemon and sends the reply, if there is one.
pub(crate) fn receive_payload(shared: &Shared, from: &str, bytes: &[u8]) {
    let message: Message = match postcard::from_bytes(bytes) {
        Ok(message) => message,
        Err(error) => {
            debug!("grant: message of {from} dropped: {error}");
            return;
        }
    };
    match &message {
        Message::Quarantine(message) => return prompt_evidence::receive(shared, from, message),
        Message::Health(message) => return upstream_evidence::receive(shared, from, message),
        Message::Usage(message) => return duties::receive(shared, from, message),
        Message::Demand(_) | Message::Grants(_) | Message::Loads(_) => {}
    }
    let reply = shared.with_core(|now_us, core| {
        let reply = core.sharing.receive(now_us, from, &message);
        core.apply_shares(now_us);
        reply
    });
    if let Some(reply) = reply {
        send(shared, from, &reply);
    }
}

/// Queues a message to another daemon.
fn send(shared: &Shared, to: &str, message: &Message) {
    match postcard::to_stdvec(message) {
        Ok(bytes) => shared
            .peers
            .with(|membership| membership.queue_payload(to, bytes)),
        Err(error) => debug!("grant: message to {to} dropped: {error}"),
    }
}
