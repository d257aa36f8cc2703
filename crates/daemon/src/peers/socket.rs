//! Task that exchanges membership datagrams with the other daemons.

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

/// Interval between two ticks of the membership.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Size of the receive buffer; larger than any valid datagram, so that oversized ones are detected.
const BUFFER_BYTES: usize = 2_048;

/// Ticks the membership, receives datagrams, and carries out the membership's outputs.
pub(crate) async fn exchange_datagrams(
    shared: Arc<Shared>,
    socket: Arc<UdpSocket>,
    announcements: Sender<Announcement>,
) {
    let peers = &shared.peers;
    let mut buffer = [0; BUFFER_BYTES];
    let mut ticks = interval(TICK_INTERVAL);
    // Ticks that were missed during a suspension need not be made up for.
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let outputs = tokio::select! {
            _ = ticks.tick() => {
                let now_us = shared.clock.now_us();
                let outputs =
                    peers.handle_event(|membership, rng, out| membership.tick(now_us, rng, out));
                // After the membership's tick, which must detect a suspension before this tick
                // resets the gap.
                handle_suspension(&shared, now_us, &outputs);
                peers.freshness.tick(now_us);
                outputs
            }
            received = socket.recv_from(&mut buffer) => {
                let Ok((length, from)) = received else {
                    // Rare on an unconnected socket; the pause avoids a busy loop on lasting
                    // errors.
                    sleep(TICK_INTERVAL).await;
                    continue;
                };
                let now_us = shared.clock.now_us();
                let outputs = peers.handle_event(|membership, rng, out| {
                    if let Err(reject) =
                        membership.receive(now_us, from, &buffer[..length], rng, out)
                    {
                        debug!("peer: datagram from {from} dropped: {reject}");
                    }
                });
                handle_suspension(&shared, now_us, &outputs);
                outputs
            }
        };
        for output in outputs {
            carry_out(&shared, output, &announcements);
        }
    }
}

/// Marks the configuration as stale after a suspension and requests a poll of the store.
fn handle_suspension(shared: &Shared, now_us: u64, outputs: &[Output]) {
    for output in outputs {
        if let Output::Resumed { paused_us } = output {
            warn!(
                "peer: this process was suspended for {} ms",
                paused_us / 1_000
            );
            shared.peers.freshness.resume(now_us);
            shared.with_core(|now_us, core| core.dispatcher.quarantine_mut().catch_up(now_us));
            shared.peers.refresh.notify_one();
        }
    }
}

/// Carries out one output of the membership.
fn carry_out(shared: &Shared, output: Output, announcements: &Sender<Announcement>) {
    match output {
        Output::Changed { name, state } => {
            info!("peer: {name} is {state:?}");
            divide_limits(shared);
        }
        Output::NewerConfig {
            peer,
            address,
            version,
        } => {
            // May be dropped if the channel is full: every datagram repeats the peer's version.
            let _ = announcements.try_send(Announcement {
                peer,
                address,
                version,
            });
        }
        Output::ConfigConfirmed => shared.peers.freshness.confirm(shared.clock.now_us()),
        Output::UpstreamLeaving { name, started_ms } => {
            info!("peer: upstream {name} was seen leaving");
            shared.with_core(|now_us, core| match started_ms {
                Some(_) => {
                    core.dispatcher
                        .set_instance_leaving(now_us, &name, started_ms);
                }
                None => core.dispatcher.set_leaving(&name),
            });
        }
        Output::Payload { from, bytes } => receive_payload(shared, &from, &bytes),
        // Already handled by `Peers::handle_event` and `handle_suspension`.
        Output::Send { .. } | Output::Resumed { .. } => {}
    }
}

/// Divides the limits of client accounts among the live daemons.
fn divide_limits(shared: &Shared) {
    let live_peers = shared.peers.with(|membership| membership.live().count());
    // Without a reachable peer, the last share is kept: this daemon may be partitioned from the
    // others rather than the only one.
    let live_daemons = if live_peers == 0 { 0 } else { live_peers + 1 };
    let live_daemons = u32::try_from(live_daemons).unwrap_or(u32::MAX);
    shared.with_core(|now_us, core| core.dispatcher.set_live_daemons(now_us, live_daemons));
}
