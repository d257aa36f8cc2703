//! Upstream pool and upstream selection.
//!
//! [`Pool`] tracks the configured upstreams, the jobs that this daemon runs on each of them and
//! how each has performed. It takes events with the current time and selects an upstream for each
//! job. It does no I/O.

mod attempt_outcome;
mod candidate_tree;
mod cohort;
mod departures;
mod engine_demand;
mod engine_load;
mod engine_state;
#[cfg(test)]
mod engine_tests;
mod fit;
mod gap_class;
mod group;
mod hedge_budget;
mod known_departure;
mod latency_aims;
mod lateness;
mod link_budget;
mod load_announcement;
mod load_report;
mod locality;
mod member;
#[cfg(test)]
mod notices_tests;
mod partition;
mod pauses;
mod peer_loads;
mod pending;
mod pick;
#[cfg(test)]
mod placement_tests;
mod pool;
#[cfg(test)]
mod pool_fuzz_tests;
mod prefix_cache;
mod prefix_table;
mod prompt_part;
mod ratio;
#[cfg(test)]
mod reachability_tests;
mod recent_losses;
mod reuse;
#[cfg(test)]
mod reuse_load_tests;
mod reuse_totals;
mod route_request;
mod step_time;
mod target;
#[cfg(test)]
mod tests;
mod tree_position;
mod uncertainty;
mod upstream_status;

pub use self::{
    attempt_outcome::AttemptOutcome,
    engine_demand::EngineDemand,
    engine_load::EngineLoad,
    hedge_budget::HedgeBudget,
    known_departure::{DepartureSource, KnownDeparture},
    latency_aims::LatencyAims,
    load_announcement::{KindEstimate, LoadAnnouncement},
    load_report::LoadReport,
    locality::Locality,
    peer_loads::PeerLoads,
    pick::Pick,
    pool::{PAUSE_MAX_US, Pool},
    prompt_part::PromptPart,
    reuse_totals::ReuseTotals,
    route_request::RouteRequest,
    target::Target,
    upstream_status::UpstreamStatus,
};
