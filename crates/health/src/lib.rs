//! Shared evidence about upstreams that stopped answering.
//!
//! A daemon that finds an upstream unreachable tells the others, so that they don't each find out by
//! a request of their own. What arrives is evidence, not a verdict: a [`Board`] weighs how many
//! daemons complain, how many of its upstreams each of them complains about, and what this daemon
//! itself has received from the upstream since. Evidence lapses within seconds, and ends with a new
//! start of the upstream. The crate does no I/O.
//!
//! ```
//! use health::{Board, Complaint, Message, Sighting, Symptom};
//!
//! let message = Message {
//!     contacts: 40,
//!     complaints: vec![Complaint {
//!         upstream: 7,
//!         started_ms: 0,
//!         symptom: Symptom::Refused,
//!         age_ms: 20,
//!         silent_ms: 0,
//!     }],
//! };
//! let mut board = Board::default();
//! board.receive(1_000_000, "other-host", &message);
//! let sighting = Sighting { started_ms: None, alive_us: 0, tried_us: 0 };
//! assert!(board.doubted_until_us(1_000_000, 7, &sighting).is_some());
//! ```

mod board;
#[cfg(test)]
mod board_tests;
mod complaint;
mod message;
mod outbox;
mod report;
mod reporter;
mod sighting;
mod symptom;

pub use self::{
    board::Board, complaint::Complaint, message::Message, outbox::Outbox, sighting::Sighting,
    symptom::Symptom,
};
