//! Upstream pool and the choice of an upstream.
//!
//! [`Pool`] knows the upstreams in force, what this daemon has running on each and how each
//! behaved. It takes events and the current time and answers which upstream a job should use; it
//! does no I/O.

mod ending;
mod load;
mod need;
mod pick;
mod place;
mod pool;
mod target;

pub use self::{
    ending::Ending, load::Load, need::Need, pick::Pick, place::Place, pool::Pool, target::Target,
};
