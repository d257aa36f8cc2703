//! Callers and upstreams that don't keep to the limits of a host, and what its process takes
//! meanwhile.
//!
//! A [`Crowd`] is a number of callers that do the same. What they send is a [`Script`]; the parts of
//! a request that can go on without end are in [`Part`]. An [`EndlessUpstream`] answers each request
//! without end, in one of the ways of [`EndlessAnswer`]. [`Usage`] follows the memory and the
//! descriptors of the process.
//!
//! ```no_run
//! # async fn run(address: std::net::SocketAddr, process: u32) {
//! use crowd::{Crowd, Part, Usage};
//!
//! let script = Part::ChunkExtension.script("POST /a HTTP/1.1\r\nhost: a\r\n");
//! let mut usage = Usage::of(process);
//! let crowd = Crowd::start(address, &script, 64);
//! usage.observe(std::time::Duration::from_secs(2)).await;
//! assert!(usage.peak_kib() < 65_536);
//! drop(crowd);
//! # }
//! ```

mod crowd;
mod endless_answer;
mod endless_upstream;
mod part;
mod script;
mod usage;

pub use self::{
    crowd::Crowd, endless_answer::EndlessAnswer, endless_upstream::EndlessUpstream, part::Part,
    script::Script, usage::Usage,
};
