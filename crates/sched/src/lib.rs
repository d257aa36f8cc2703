//! Dispatcher that composes queue, limits and upstream choice.
//!
//! [`Dispatcher`] takes one event and the current time, and appends the resulting [`Action`]s, each
//! with the [`Reason`] for it. It reads no clock and does no I/O; the daemon, the fuzz tests and
//! the bench drive the same type.
//!
//! Upstreams that share a model form a group. In a group a higher tier goes first, except for the
//! starts that [`queue::ReservedShares`] owes to lower tiers. A job that finds no room preempts a
//! job of a lower tier. A job on a reserved slot gives way only to a job of tier 0 that would
//! otherwise be refused; the bound of [`queue::ReservedShares`] therefore holds while tier 0 meets
//! its deadlines.

mod action;
mod admission;
mod dispatch;
mod dispatcher;
mod entry;
#[cfg(test)]
mod fixtures;
mod group;
#[cfg(test)]
mod holds_complete_tests;
#[cfg(test)]
mod holds_refusal_tests;
#[cfg(test)]
mod holds_served_tests;
mod job;
mod lane;
mod mean;
mod member;
#[cfg(test)]
mod oracle;
mod outcome;
mod policy;
mod preempt;
mod reason;
mod retry;
mod running;
#[cfg(test)]
mod tests;
mod topology;
mod turn;

pub use self::{
    action::Action,
    dispatcher::Dispatcher,
    job::{Job, JobId},
    outcome::Outcome,
    policy::JobPolicy,
    reason::Reason,
};
pub use route::{EngineLoad, LoadReport, Locality, PeerLoads, PromptPart, Target, UpstreamStatus};
