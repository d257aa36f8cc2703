//! Budgets of a host for what it holds for callers: bytes and connections.
//!
//! A host ends when it exceeds its memory or its descriptors, so it holds only what fits.
//! [`Budget`] grants bytes to bodies that arrive and to answers that wait for their callers, in the
//! order of their rank and size, and finds holders without progress. [`ConnectionTable`] finds the
//! connection that makes room for another one, and connections that keep much without progress.
//! [`HostLimits`] derives both from the declared limits of the host.
//!
//! All of them take the time as an argument and do no I/O.
//!
//! ```
//! use intake::{Budget, Claim, HostLimits, Kind};
//!
//! let limits = HostLimits::new(Some(64_000_000), None, 64);
//! let mut budget = Budget::new(limits.budget().unwrap());
//! let claim = Claim::new(Kind::Receiving, "member-a".into(), 4 << 20);
//! let hold = budget.reserve(0, &claim).unwrap();
//! assert_eq!(budget.held_bytes(), 4 << 20);
//! budget.release(hold);
//! assert_eq!(budget.held_bytes(), 0);
//! ```

mod budget;
#[cfg(test)]
mod budget_tests;
mod claim;
mod connection_table;
#[cfg(test)]
mod connection_table_tests;
mod host_limits;
mod kind;
mod progress;
mod shortage;

pub use self::{
    budget::{Budget, BudgetOptions, HoldId, Ticket},
    claim::Claim,
    connection_table::{ConnectionOptions, ConnectionState, ConnectionTable},
    host_limits::HostLimits,
    kind::Kind,
    progress::ProgressFloor,
    shortage::Shortage,
};
