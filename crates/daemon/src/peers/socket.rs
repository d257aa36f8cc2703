use std::{sync::Arc, time::Duration};

use log::{debug, info, warn};
use peer::Output;
use tokio::{
    net::UdpSocket,
    sync::mpsc::Sender,
    time::{MissedTickBehavior, interval, sleep},
};

use super::Announcement;
use crate::{grants::receive_payload, shared::Shared};

/// Pause between two ticks of the membership.
const TICK: Duration = Duration::from_millis(100);

/// Larger than any valid datagram, so that an oversized one is seen as such.
const BUFFER_BYTES: usize = 2_048;

/// Exchanges datagrams with the other daemons.
pub(crate) async fn exchange_datagrams(
    shared: Arc<Shared>,
    socket: Arc<UdpSocket>,
    announcements: Sender<Announcement>,
) {
    let peers = &shared.peers;
    let mut buffer = [0; BUFFER_BYTES];
    let mut ticks = interval(TICK);
    // Ticks that were missed during a pause are of no use after it.
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let outputs = tokio::select! {
            _ = ticks.tick() => {
                let now_us = shared.clock.now_us();
                let outputs = peers.act(|membership, rng, out| membership.tick(now_us, rng, out));
                // After the membership, so that a pause is noticed before it looks ended.
                note_pause(&shared, now_us, &outputs);
                peers.freshness.tick(now_us);
                outputs
            }
            received = socket.recv_from(&mut buffer) => {
                let Ok((length, from)) = received else {
                    // Rare on an unconnected socket; the pause keeps a lasting error from spinning.
                    sleep(TICK).await;
                    continue;
                };
                let now_us = shared.clock.now_us();
                let outputs = peers.act(|membership, rng, out| {
                    if let Err(reject) =
                        membership.receive(now_us, from, &buffer[..length], rng, out)
                    {
                        debug!("peer: datagram from {from} dropped: {reject}");
                    }
                });
                note_pause(&shared, now_us, &outputs);
                outputs
            }
        };
        for output in outputs {
            carry_out(&shared, output, &announcements);
        }
    }
}

fn note_pause(shared: &Shared, now_us: u64, outputs: &[Output]) {
    for output in outputs {
        if let Output::Resumed { paused_us } = output {
            warn!(
                "peer: this process was suspended for {} ms",
                paused_us / 1_000
            );
            shared.peers.freshness.resume(now_us);
            shared.peers.refresh.notify_one();
        }
    }
}

fn carry_out(shared: &Shared, output: Output, announcements: &Sender<Announcement>) {
    match output {
        Output::Changed { name, state } => {
            info!("peer: {name} is {state:?}");
            share_limits(shared);
        }
        Output::NewerConfig {
            peer,
            address,
            version,
        } => {
            // A full channel is no loss: the peer announces its version in every datagram.
            let _ = announcements.try_send(Announcement {
                peer,
                address,
                version,
            });
        }
        Output::ConfigConfirmed => shared.peers.freshness.confirm(shared.clock.now_us()),
        Output::UpstreamLeaving { name } => {
            info!("peer: upstream {name} was seen leaving");
            shared.with_core(|_, core| core.dispatcher.set_leaving(&name));
        }
        Output::Payload { from, bytes } => receive_payload(shared, &from, &bytes),
        // Sent and noted already.
        Output::Send { .. } | Output::Resumed { .. } => {}
    }
}

/// Divides the limits of client accounts by the daemons that are live now.
fn share_limits(shared: &Shared) {
    let live_peers = shared.peers.with(|membership| membership.live().count());
    // With no peer in reach the last share is kept: this daemon may be cut off, not alone.
    let live_daemons = if live_peers == 0 { 0 } else { live_peers + 1 };
    let live_daemons = u32::try_from(live_daemons).unwrap_or(u32::MAX);
    shared.with_core(|now_us, core| core.dispatcher.set_live_daemons(now_us, live_daemons));
}
