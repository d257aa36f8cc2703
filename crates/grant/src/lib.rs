//! Sharing of upstream slots between daemons.
//!
//! Every upstream has a [home](Plan::home) among the live hosts. [`Home`] hands out short-lived
//! grants of its slots to the daemons that report demand by tier; [`Holder`] is the other side: it
//! reports demand and turns grants into the shares that the dispatcher keeps to. A daemon that
//! hears nothing falls back to the slots divided by the daemons that use the upstream. Both types
//! take the time as an argument and do no I/O.
//!
//! ```
//! use grant::{Budget, Holder, Home, Peer, Plan};
//!
//! let peers = [Peer::new("entry-1", "costa"), Peer::new("entry-2", "costa")];
//! let budgets = [Budget::new("engine-1", "costa", 8)];
//! let plan = Plan::new(&budgets, &peers);
//! let mut holder = Holder::new("entry-1");
//! holder.configure(&plan);
//! let mut home = Home::new(plan.home("engine-1").unwrap(), 1);
//! home.configure(&plan);
//!
//! let (to, demand) = holder.demands(0, [0, 3, 0]).remove(0);
//! assert_eq!(to.as_ref(), home.host());
//! let grants = home.demand(500, "entry-1", &demand);
//! holder.grants(1_000, &to, &grants);
//! assert!(holder.share(1_000, "engine-1") >= 3);
//! ```

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
mod plan;
mod subset;
#[cfg(test)]
mod subset_tests;

pub use self::{
    budget::Budget,
    demand::{Demand, DemandItem},
    grants::{GrantItem, Grants},
    holder::Holder,
    home::{Home, LEASE_US},
    peer::Peer,
    plan::Plan,
};

/// Number of tiers.
pub const TIERS: usize = 3;
