use std::{sync::Arc, time::Duration};

use grant::Peer;
use log::debug;

use crate::{shared::Shared, sharing::Message};

/// Pause between two looks at whether a report is due; reports follow at 200 to 900 ms.
const TICK: Duration = Duration::from_millis(50);

/// Shares the slots of engines with the other daemons by grants.
pub(crate) async fn share_slots(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(TICK).await;
        let view = shared.view.load_full();
        if view.config.version == 0 {
            continue;
        }
        let peers = shared.peers.with(|membership| {
            membership
                .live()
                .map(|member| Peer::new(&member.name, &member.region))
                .collect()
        });
        let messages = shared.with_core(|now_us, core| {
            core.sharing.plan(&view.config, peers);
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

/// Takes a message of another daemon.
pub(crate) fn receive_payload(shared: &Shared, from: &str, bytes: &[u8]) {
    let message: Message = match postcard::from_bytes(bytes) {
        Ok(message) => message,
        Err(error) => {
            debug!("grant: message of {from} dropped: {error}");
            return;
        }
    };
    let answer = shared.with_core(|now_us, core| {
        let answer = core.sharing.receive(now_us, from, &message);
        core.apply_shares(now_us);
        answer
    });
    if let Some(answer) = answer {
        send(shared, from, &answer);
    }
}

fn send(shared: &Shared, to: &str, message: &Message) {
    match postcard::to_stdvec(message) {
        Ok(bytes) => shared
            .peers
            .with(|membership| membership.queue_payload(to, bytes)),
        Err(error) => debug!("grant: message to {to} dropped: {error}"),
    }
}
