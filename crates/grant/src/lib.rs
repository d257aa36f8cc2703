//! Sharing of upstream slots between daemons.
//!
//! One live host is the [home](Assignments::home) of each upstream. Its [`Home`] grants the slots
//! of that upstream, for a short time, to the daemons that report demand by tier. [`Holder`] is the
//! client side: it reports demand and turns grants into the shares that the dispatcher enforces.
//! A daemon that gets no grant falls back to an even share: the slots divided by the number of
//! daemons that use the upstream. Both types take the time as an argument and do no I/O.
//!
//! ```
//! use grant::{Assignments, Budget, Holder, Home, Peer};
//!
//! let peers = [Peer::new("entry-1", "costa"), Peer::new("entry-2", "costa")];
//! let budgets = [Budget::new("engine-1", "costa", 8)];
//! let assignments = Assignments::new(&budgets, &peers);
//! let mut holder = Holder::new("entry-1");
//! holder.configure(&assignments);
//! let mut home = Home::new(assignments.home("engine-1").unwrap(), 1);
//! home.configure(&assignments);
//!
//! let (to, demand) = holder.demand_reports(0, [0, 3, 0]).remove(0);
//! assert_eq!(to.as_ref(), home.host());
//! let grants = home.handle_demand(500, "entry-1", &demand);
//! holder.handle_grants(1_000, &to, &grants);
//! assert!(holder.share(1_000, "engine-1") >= 3);
//! ```

mod assignments;
mod budget;
mod demand;
#[cfg(test)]
mod fleet_tests;
mod grants;
mod hash;
mod holder;
#[cfg(test)]
mod holder_tests;
mod home;
#[cfg(test)]
mod home_tests;
mod ledger;
mod peer;
mod subset;
#[cfg(test)]
mod subset_tests;

pub use self::{
    assignments::Assignments,
    budget::Budget,
    demand::{Demand, DemandItem},
    grants::{GrantItem, Grants},
    holder::Holder,
    home::{Home, LEASE_US},
    peer::Peer,
};

/// Number of priority tiers; tier 0 is the highest.
pub const TIERS: usize = 3;
