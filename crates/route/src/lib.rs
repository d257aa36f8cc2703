//! Upstream pool and the choice of an upstream.
//!
//! [`Pool`] knows the upstreams in force, what this daemon has running on each and how each
//! behaved. It takes events and the current time and answers which upstream a job should use; it
//! does no I/O.

mod attempt_outcome;
mod cohort;
mod departures;
mod engine_load;
mod engine_state;
#[cfg(test)]
mod engine_tests;
mod fit;
mod group;
mod hedge_budget;
mod lane;
mod link_budget;
mod load_report;
mod locality;
mod member;
mod part_cache;
mod peer_loads;
mod pending;
mod pick;
#[cfg(test)]
mod placement_tests;
mod pool;
#[cfg(test)]
mod pool_fuzz_tests;
mod prefix_table;
mod prompt_part;
mod ratio;
mod route_request;
mod seat;
mod target;
#[cfg(test)]
mod tests;
mod upstream_status;

pub use self::{
    attempt_outcome::AttemptOutcome, engine_load::EngineLoad, hedge_budget::HedgeBudget,
    load_report::LoadReport, locality::Locality, peer_loads::PeerLoads, pick::Pick, pool::Pool,
    prompt_part::PromptPart, route_request::RouteRequest, target::Target,
    upstream_status::UpstreamStatus,
};
