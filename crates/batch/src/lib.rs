//! Model of an inference engine with continuous batching.
//!
//! [`BatchEngine`] runs sequences in steps. A step prefills a bounded number of prompt tokens and
//! generates one token for every prefilled sequence; its duration grows with both numbers. Waiting
//! sequences are ordered by priority if the engine honours it. Running sequences and cached parts
//! of prompts can share one memory; when it is full, the newest of the least urgent running
//! sequences is preempted. The model does no I/O: the engine stand-in and the decision bench both
//! drive it.
//!
//! ```
//! use batch::{BatchEngine, Profile, Sequence};
//!
//! let mut batch = BatchEngine::new(Profile::default());
//! batch.add(Sequence::new(1).with_prompt_tokens(100).with_output_tokens(2));
//! let mut events = Vec::new();
//! let duration_us = batch.step(&mut events);
//! assert!(duration_us > 0);
//! assert_eq!(events.len(), 1);
//! ```

mod model;
mod prefix_cache;
mod profile;
mod sequence;
#[cfg(test)]
mod tests;

pub use self::{
    model::{BatchEngine, Event},
    prefix_cache::PrefixCache,
    profile::Profile,
    sequence::Sequence,
};
