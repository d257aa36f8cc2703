//! Load generator with the request mixes of two deployments; not shipped.
//!
//! A [`Plan`] is generated from a [`Mix`] and a seed: when each request is sent, with which class
//! and lengths, and whether its caller disconnects early. [`run()`] sends the plan to the daemons
//! in rotation, as an open loop that is bounded in count and time, and returns a [`Report`].
//!
//! ```
//! use load::{Mix, Plan};
//!
//! let plan = Plan::generate(&Mix::grifo_comun(), 20.0, 2, 7);
//! assert_eq!(plan.requests(), Plan::generate(&Mix::grifo_comun(), 20.0, 2, 7).requests());
//! ```

#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "counts and times of a bounded run are far below 2^52"
)]

mod mix;
mod overhead;
mod plan;
mod report;
mod request;
mod run;
mod sample;
#[cfg(test)]
mod tests;

pub use self::{
    mix::{Mix, RequestSpec},
    overhead::{Overhead, measure_overhead},
    plan::{Plan, PlannedRequest},
    report::{ClassReport, Report},
    run::{Target, run},
    sample::{RequestOutcome, Sample},
};
