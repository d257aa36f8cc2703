//! Tiered queue of waiting jobs, fair between client accounts.
//!
//! A [`Queue`] holds [`Item`]s in lanes, one for each model or plain service, so that a full lane
//! never blocks another. Inside a lane each tier orders client accounts by the service they
//! received, divided by their weight, and the items of one account by arrival. [`Reserve`] counts
//! the share of starts that lower tiers keep under overload, and [`Lengths`] learns output lengths.
//!
//! ```
//! use queue::{Item, Queue, Variant};
//!
//! let mut queue = Queue::default();
//! let item = Item {
//!     id: 7,
//!     lane: 0,
//!     tier: 1,
//!     account: "counter".into(),
//!     variant: Variant::Fresh,
//!     arrival: 1,
//!     deadline_us: 1_000,
//!     cost: 50,
//!     bounded: true,
//! };
//! queue.push(&item);
//! assert_eq!(queue.head(0, 1, Variant::ALL).unwrap().id, 7);
//! assert!(queue.start(&item));
//! assert!(queue.head(0, 1, Variant::ALL).is_none());
//! ```

mod account_queue;
mod backlog;
mod fair_queue;
mod head;
mod item;
mod lengths;
#[cfg(test)]
mod lengths_tests;
mod queue;
mod reserve;
#[cfg(test)]
mod reserve_tests;
#[cfg(test)]
mod tests;
mod variant;

pub use self::{
    head::Head, item::Item, lengths::Lengths, queue::Queue, reserve::Reserve, variant::Variant,
};

/// Number of tiers; tier 0 is the highest.
pub const TIERS: usize = 3;
