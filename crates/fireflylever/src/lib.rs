//! Router for language-model traffic with service levels and priorities.
//!
//! This crate is a facade: it re-exports the library crates, one for each area. A host runs
//! [`daemon::Daemon`]; a program that only needs the decisions uses [`sched::Dispatcher`] and
//! drives it with events and the current time.
//!
//! ```
//! use fireflylever::{
//!     sched::{Dispatcher, Locality},
//!     settings::Config,
//! };
//!
//! let mut dispatcher = Dispatcher::new(Locality::new("costa", "costa-norte"));
//! let mut actions = Vec::new();
//! dispatcher.configure(0, &Config::default(), &mut actions);
//! assert!(actions.is_empty());
//! ```

pub use ::{
    audit, capacity, claim, code, daemon, duty, grant, health, intake, lease, limit, metric, peer,
    queue, release, route, sched, settings, store, wire,
};
