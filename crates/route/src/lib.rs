//! Upstream pool and the choice of an upstream.
//!
//! [`Pool`] knows the upstreams in force, what this daemon has running on each and how each
//! behaved. It takes events and the current time and answers which upstream a job should use; it
//! does no I/O.

mod cohort;
mod departures;
mod ending;
mod engine_load;
mod engine_state;
#[cfg(test)]
mod engine_tests;
mod fit;
mod group;
mod hedge_budget;
mod lane;
mod link_budget;
mod load;
mod member;
mod need;
mod part_cache;
mod peer_loads;
mod pending;
mod pick;
mod place;
#[cfg(test)]
mod placement_tests;
mod pool;
#[cfg(test)]
mod pool_fuzz_tests;
mod prefix_table;
mod prompt_part;
mod ratio;
mod seat;
mod standing;
mod target;
#[cfg(test)]
mod tests;

pub use self::{
    ending::Ending, engine_load::EngineLoad, hedge_budget::HedgeBudget, load::Load, need::Need,
    peer_loads::PeerLoads, pick::Pick, place::Place, pool::Pool, prompt_part::PromptPart,
    standing::Standing, target::Target,
};
