//! Task that exchanges the counts of the usage reports with the other daemons.

use std::{sync::Arc, time::Duration};

use duty::Message;
use log::debug;

use crate::{shared::Shared, sharing::Message as PeerMessage};

/// Interval between two rounds of messages.
const INTERVAL: Duration = Duration::from_millis(250);

/// Tells this host's counts to the daemons that keep them, and asks for those that are missing
/// while this host holds the duties.
pub(crate) async fn gather_usage(shared: Arc<Shared>) {
    let Some(counter) = &shared.usage else { return };
    loop {
        tokio::time::sleep(INTERVAL).await;
        let live = shared.peers.with(|membership| {
            let live = membership.live();
            live.map(|member| member.name.clone()).collect()
        });
        let token = shared.held.current().map(|hold| hold.token);
        let now_us = shared.held.now_us();
        for (to, message) in counter.tick(now_us, live, token, shared.is_draining()) {
            send(&shared, &to, message);
        }
        let known = counter.with(now_us, |_, usage| usage.holder().map(|holder| holder.token));
        shared.held.see_token(known.unwrap_or(0));
    }
}

/// Handles a message of another daemon.
pub(crate) fn receive(shared: &Shared, from: &str, message: &Message) {
    match &shared.usage {
        Some(counter) => counter.receive(from, message),
        None => debug!("duty: message of {from} dropped: no usage is reported here"),
    }
}

/// Queues a message to another daemon.
fn send(shared: &Shared, to: &str, message: Message) {
    match postcard::to_stdvec(&PeerMessage::Usage(message)) {
        Ok(bytes) => shared
            .peers
            .with(|membership| membership.queue_urgent_payload(to, bytes)),
        Err(error) => debug!("duty: message to {to} dropped: {error}"),
    }
}
