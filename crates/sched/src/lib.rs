//! Dispatcher that composes queue, limits and upstream choice.
//!
//! [`Dispatcher`] takes one event and the current time, and appends the resulting [`Action`]s. It
//! reads no clock and does no I/O; the daemon, the fuzz tests and the bench drive the same type.

mod action;
mod dispatcher;
mod job;
mod outcome;
#[cfg(test)]
mod tests;

pub use self::{
    action::Action,
    dispatcher::Dispatcher,
    job::{Job, JobId},
    outcome::Outcome,
};
pub use route::{Load, Place, Target};
