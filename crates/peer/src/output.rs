use std::net::SocketAddr;

use crate::State;

/// Action or event that a call of [`Membership`](crate::Membership) returns to the daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send this datagram.
    Send {
        /// Receiver.
        to: SocketAddr,
        /// Signed datagram.
        bytes: Vec<u8>,
    },
    /// A member is new or its state or incarnation changed.
    Changed {
        /// Name of the member.
        name: String,
        /// New state.
        state: State,
    },
    /// A peer has a newer configuration in force than this daemon.
    NewerConfig {
        /// Name of the peer that announced it.
        peer: String,
        /// Address from which the configuration can be fetched.
        address: SocketAddr,
        /// Version in force at the peer.
        version: u64,
    },
    /// A peer has confirmed that its configuration is not newer than this daemon's.
    ///
    /// Returned only after [`Output::Resumed`], once for each pause.
    ConfigConfirmed,
    /// A peer reported that this upstream is leaving.
    UpstreamLeaving {
        /// Name of the upstream.
        name: String,
        /// Start of the instance that said so itself, in Unix milliseconds; `None` if a list of
        /// the peer said so.
        started_ms: Option<u64>,
    },
    /// An application payload arrived.
    Payload {
        /// Name of the sender.
        from: String,
        /// Payload as it was queued.
        bytes: Vec<u8>,
    },
    /// This process was suspended; its view may be out of date.
    ///
    /// The daemon must refresh its view before it sends work. [`Output::ConfigConfirmed`] follows
    /// when a peer has answered a ping that was sent after the pause.
    Resumed {
        /// Length of the pause.
        paused_us: u64,
    },
}
