//! Membership between daemons over authenticated datagrams.
//!
//! [`Membership`] is the view that one daemon has of the others. It does no I/O: the daemon passes
//! in received datagrams and the time, and carries out the returned [`Output`]s. Every daemon runs
//! the same protocol; none has a special role.
//!
//! The protocol follows SWIM. At a fixed interval a daemon pings one other member. A member that
//! does not answer is probed through a few others, then suspected, and declared dead unless it
//! refutes the suspicion with a higher incarnation number. Changes are piggybacked on pings and
//! acknowledgements. Views that differ are synchronised record by record. One token bucket limits
//! all bytes that a daemon sends, so its traffic does not grow with the number of daemons.
//!
//! ```
//! use peer::{Keys, ListedHost, Member, Membership, Options, Output};
//! use rand::{SeedableRng, rngs::StdRng};
//! use settings::PeerKey;
//!
//! let key = PeerKey { id: 1, secret_hex: "00112233445566778899aabbccddeeff".to_owned() };
//! let keys = Keys::new(&[key]).unwrap();
//! let me = Member::new("entry-1", "127.0.0.1:7001".parse().unwrap(), 1);
//! let mut membership = Membership::new(me, keys, Options::default());
//! let host = ListedHost::new("entry-2", "127.0.0.1:7002".parse().unwrap());
//! membership.set_hosts(&[host]);
//!
//! let mut outputs = Vec::new();
//! membership.tick(1_000_000, &mut StdRng::seed_from_u64(1), &mut outputs);
//! assert!(matches!(outputs[0], Output::Send { .. }));
//! ```

mod budget;
mod counters;
mod datagram;
mod entry;
mod fetch_rank;
mod frame;
mod key_error;
mod keys;
mod kind;
mod leaving_list;
mod leaving_name;
mod listed_host;
mod member;
mod membership;
mod merge;
mod options;
mod output;
mod payload_queue;
mod probe;
mod receive;
mod reject;
mod relay;
mod replay_window;
mod rumors;
mod send;
mod state;
mod tick;
mod tree;

#[cfg(test)]
mod membership_tests;
#[cfg(test)]
mod tree_tests;

pub use self::{
    counters::Counters, frame::Frame, key_error::KeyError, keys::Keys, listed_host::ListedHost,
    member::Member, membership::Membership, options::Options, output::Output, reject::Reject,
    state::State,
};
