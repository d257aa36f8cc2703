//! Number of servers of each kind that a service needs in each availability zone.
//!
//! [`Planner`] follows the demand for one service and the servers that provide it, and returns the
//! orders to send. It is driven by the host that orders servers for the fleet, takes the current
//! time as an argument and does no I/O.

mod allocation;
mod demand_window;
#[cfg(test)]
mod load_tests;
mod observation;
mod order;
mod planner;
mod subject;

pub use self::{
    observation::{Demand, Observation, ServerCount, ZoneServers},
    order::{Order, OrderInputs, OrderOutcome, Reason},
    planner::{Planner, Totals},
};
