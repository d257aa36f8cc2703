//! Tiered queue of waiting jobs with weighted fair queueing between client accounts.
//!
//! A [`Queue`] holds [`Item`]s in lanes, one for each model or plain service, so that a full lane
//! never blocks another. Within a lane, each tier orders client accounts by the service they have
//! received divided by their weight, and the items of an account by arrival. [`ReservedShares`]
//! tracks the share of starts that is reserved for lower tiers under overload, and
//! [`OutputLengths`] estimates output lengths from completed answers.
//!
//! ```
//! use queue::{Item, Queue, ItemKind};
//!
//! let mut queue = Queue::default();
//! let item = Item {
//!     id: 7,
//!     lane: 0,
//!     tier: 1,
//!     account: "counter".into(),
//!     kind: ItemKind::Fresh,
//!     arrival: 1,
//!     deadline_us: 1_000,
//!     cost: 50,
//!     bounded: true,
//! };
//! queue.push(&item);
//! assert_eq!(queue.head(0, 1, ItemKind::ALL).unwrap().id, 7);
//! assert!(queue.start(&item));
//! assert!(queue.head(0, 1, ItemKind::ALL).is_none());
//! ```

mod account_queue;
mod backlog;
mod fair_queue;
mod head;
mod item;
mod item_kind;
#[cfg(test)]
mod lengths_tests;
mod output_lengths;
mod queue;
#[cfg(test)]
mod reserve_tests;
mod reserved_shares;
#[cfg(test)]
mod tests;

pub use self::{
    head::Head, item::Item, item_kind::ItemKind, output_lengths::OutputLengths, queue::Queue,
    reserved_shares::ReservedShares,
};

/// Number of tiers; tier 0 is the highest.
pub const TIERS: usize = 3;
