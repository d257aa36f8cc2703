//! Borders to a platform whose callers, upstreams and store speak a protocol of its own.
//!
//! The daemon decides; an adapter translates. [`Dialect`] translates the headers of routed requests,
//! [`Directory`] the rows of the platform's store.

mod caller_head;
mod dialect;
mod directory;
mod hop;
mod verdict;

pub use self::{
    caller_head::{CallerHead, Malformed},
    dialect::Dialect,
    directory::Directory,
    hop::Hop,
    verdict::Verdict,
};
