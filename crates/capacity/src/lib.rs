//! Number of upstreams of each kind that a service needs in each availability zone.
//!
//! [`Planner`] follows the demand for one service and the upstreams that provide it, and returns the
//! orders to send. It is driven by the host that orders upstreams for the fleet, takes the current
//! time as an argument and does no I/O.

mod allocation;
#[cfg(test)]
mod allocation_tests;
mod demand_window;
#[cfg(test)]
mod load_tests;
mod observation;
mod order;
mod planner;
#[cfg(test)]
mod planner_tests;
mod subject;

pub use self::{
    observation::{Demand, Observation, UpstreamCount, ZoneUpstreams},
    order::{Order, OrderInputs, OrderOutcome, Reason},
    planner::{Planner, Totals},
};
