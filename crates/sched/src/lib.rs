//! Dispatcher that decides when and on which upstream each job runs.
//!
//! [`Dispatcher`] combines the queue, the limits of client accounts and the choice of an upstream.
//! Each call passes one event and the current time, and appends the resulting [`Action`]s, each
//! with its [`Reason`]. The dispatcher reads no clock and does no I/O, so that the daemon, the fuzz
//! tests and the bench drive the same type.
//!
//! Jobs for one model or plain service wait in one lane of the queue. Lanes that share an upstream
//! form a group, whose jobs compete for the same slots. In a group, higher tiers start first,
//! except for the starts that [`queue::ReservedShares`] grants to lower tiers. A job that finds no
//! free slot preempts a job of a lower tier. A job on a reserved slot is preempted only for a job
//! of tier 0 that would otherwise be refused; the wait bound of [`queue::ReservedShares`] therefore
//! holds as long as tier 0 meets its deadlines.

mod action;
mod admission;
mod answer_times;
#[cfg(test)]
mod answer_times_tests;
mod candidate;
mod dispatch;
mod dispatcher;
mod entry;
mod evidence;
#[cfg(test)]
mod fixtures;
mod group;
mod held_retries;
#[cfg(test)]
mod held_retries_tests;
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
mod notices;
#[cfg(test)]
mod notices_tests;
#[cfg(test)]
mod oracle;
mod outcome;
mod policy;
mod preempt;
mod prompts;
#[cfg(test)]
mod prompts_tests;
mod reason;
mod retry;
mod running;
mod stop;
#[cfg(test)]
mod stop_tests;
#[cfg(test)]
mod tests;
mod topology;

pub use self::{
    action::Action,
    dispatcher::Dispatcher,
    job::{Job, JobId},
    outcome::Outcome,
    policy::JobPolicy,
    reason::Reason,
};
pub use health::Symptom;
pub use quarantine::{PromptParts, Quarantine};
pub use route::{
    EngineDemand, EngineLoad, KindEstimate, KnownDeparture, LatencyAims, LoadAnnouncement,
    LoadReport, Locality, PAUSE_MAX_US, PeerLoads, PromptPart, ReuseTotals, Target, UpstreamStatus,
};
