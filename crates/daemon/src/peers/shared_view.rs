//! Membership and UDP socket that all threads of a daemon share.

use std::{
    io,
    net::SocketAddr,
    sync::{Mutex, PoisonError, Weak},
    time::{SystemTime, UNIX_EPOCH},
};

use log::debug;
use peer::{KeyError, Keys, Member, Membership, Options, Output};
use rand::rngs::StdRng;
use settings::Host;
use tokio::{net::UdpSocket, sync::Notify};

use super::freshness::Freshness;

/// Membership with its UDP socket, shared by all threads of a daemon.
pub(crate) struct Peers {
    pub(crate) keys: Keys,
    pub(crate) freshness: Freshness,
    /// Wakes the poll of the store after a suspension of the process.
    pub(crate) refresh: Notify,
    /// Weak, because the receiving task owns the socket: the address is free when that task ends.
    socket: Weak<UdpSocket>,
    state: Mutex<(Membership, StdRng)>,
}

impl Peers {
    /// Creates the membership of a daemon that serves peers at this address.
    pub(crate) fn new(
        host: &Host,
        socket: Weak<UdpSocket>,
        address: SocketAddr,
    ) -> Result<Self, KeyError> {
        let keys = Keys::new(&host.peer_keys)?;
        let own_member =
            Member::new(&host.name, address, incarnation()).with_locality(&host.region, &host.zone);
        let membership = Membership::new(own_member, keys.clone(), Options::default());
        Ok(Self {
            keys,
            socket,
            freshness: Freshness::default(),
            refresh: Notify::new(),
            state: Mutex::new((membership, rand::make_rng())),
        })
    }

    /// Reads or changes the membership.
    pub(crate) fn with<F, R>(&self, access: F) -> R
    where
        F: FnOnce(&mut Membership) -> R,
    {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        access(&mut state.0)
    }

    /// Passes one event to the membership, sends the resulting datagrams and returns the other
    /// outputs.
    pub(crate) fn handle_event<F>(&self, event: F) -> Vec<Output>
    where
        F: FnOnce(&mut Membership, &mut StdRng, &mut Vec<Output>),
    {
        let mut outputs = Vec::new();
        {
            let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
            let (membership, rng) = &mut *state;
            event(membership, rng, &mut outputs);
        }
        let socket = self.socket.upgrade();
        outputs.retain(|output| {
            let Output::Send { to, bytes } = output else {
                return true;
            };
            // If the socket's buffer is full, the datagram is treated as lost in the network.
            if let Some(socket) = &socket
                && let Err(error) = socket.try_send_to(bytes, *to)
                && error.kind() != io::ErrorKind::WouldBlock
            {
                debug!("peer: send to {to} failed: {error}");
            }
            false
        });
        outputs
    }

    /// Announces to the peers that this daemon is stopping.
    pub(crate) fn leave(&self, now_us: u64) {
        self.handle_event(|membership, rng, out| membership.leave(now_us, rng, out));
    }
}

/// Returns a number that grows with every start of the daemon, unless the clock is set back.
fn incarnation() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(1, |since| u64::try_from(since.as_millis()).unwrap_or(1))
}
