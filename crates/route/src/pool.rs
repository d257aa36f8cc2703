use std::sync::Arc;

use health::{Board, Outbox};
use settings::{Config, UpstreamLifecycle};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    DepartureSource, Locality, ReuseTotals, Target, UpstreamStatus, candidate_tree::CandidateTree,
    cohort::Cohort, departures::Departures, group::Group, known_departure::KnownDepartures,
    link_budget::LinkBudget, member::Member, pauses::Pauses, prefix_table::PrefixTable,
    recent_losses::RecentLosses,
};

mod choice;
mod demand;
mod evidence;
mod layout;
mod notices;
mod outlier_detection;
mod placement;
mod reachability;
mod sources;

pub use self::notices::PAUSE_MAX_US;

/// Configured upstreams with this daemon's jobs on each and the observed performance of each.
///
/// ```
/// # use route::{Locality, Pool};
/// # use settings::Config;
/// let mut pool = Pool::new(Locality::new("costa", "costa-norte")).with_seed(7);
/// pool.configure(0, &Config::default());
/// pool.set_link_budget(3_750_000 / 6);
/// assert!(pool.statuses().is_empty());
/// ```
#[derive(Debug, Clone, Default)]
pub struct Pool {
    locality: Locality,
    seed: u64,
    now_us: u64,
    version: u64,
    refresh_due_us: u64,
    /// Number of selections so far.
    picks: u64,
    /// Sorted by name.
    members: Vec<Member>,
    /// Hash of the name and index of each member, sorted by the hash.
    ids: Vec<(u64, u32)>,
    groups: Vec<Group>,
    cohorts: Vec<Cohort>,
    /// Indexes of the ejected members, in ascending order.
    ejected: Vec<u32>,
    departures: Departures,
    known_departures: KnownDepartures,
    pauses: Pauses,
    losses: RecentLosses,
    /// What other daemons say about the reachability of upstreams.
    board: Board,
    /// What this daemon has to tell about it.
    outbox: Outbox,
    /// Number of live daemons, this one included.
    live_daemons: u32,
    /// Share of the other daemons that announced their load lately.
    heard_share: f64,
    link_budget: LinkBudget,
    prefixes: PrefixTable,
    reuse_totals: ReuseTotals,
}

impl Pool {
    /// Creates an empty pool for a daemon in this locality.
    #[must_use]
    pub fn new(locality: Locality) -> Self {
        let seed = xxh3_64_with_seed(locality.region.as_bytes(), 0);
        let seed = xxh3_64_with_seed(locality.zone.as_bytes(), seed);
        Self {
            locality,
            seed,
            ..Self::default()
        }
    }

    /// Sets the seed that orders equally good upstreams. It should differ between daemons.
    #[must_use]
    pub const fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Applies a configuration and keeps the history of upstreams that stay.
    ///
    /// An instance that is known to be leaving doesn't return. Where only the name of the upstream is
    /// known, it returns with a configuration newer than the one in force when that became known, or
    /// after its leaving period.
    pub fn configure(&mut self, now_us: u64, config: &Config) {
        let now_us = self.advance(now_us);
        self.layout(now_us, config);
        self.refresh(now_us);
    }

    /// Sets how many jobs this daemon may run on an upstream; `None` removes the limit.
    pub fn set_share(&mut self, upstream: &str, slots: Option<u32>) {
        if let Some(index) = self.index(upstream) {
            let member = &mut self.members[index];
            let was_usable = member.is_usable();
            member.share = slots;
            if member.is_usable() != was_usable {
                self.recount(self.now_us);
            }
            self.update_key(self.now_us, index);
        }
    }

    /// Marks an upstream as leaving: it gets no new work.
    pub fn set_leaving(&mut self, upstream: &str) {
        let now_us = self.now_us;
        let Some(index) = self.index(upstream) else {
            self.departures
                .insert(now_us, &Arc::from(upstream), self.version);
            return;
        };
        let name = self.members[index].name.clone();
        self.departures.insert(now_us, &name, self.version);
        let started_ms = self.members[index].settings.started_ms;
        self.known_departures
            .insert(now_us, &name, started_ms, DepartureSource::HostList);
        self.members[index].leaving = true;
        self.recount(now_us);
        self.update_key(now_us, index);
    }

    /// Sets the number of live daemons, this one included.
    pub const fn set_live_daemons(&mut self, live_daemons: u32) {
        self.live_daemons = live_daemons;
    }

    /// Sets how many bytes a second this daemon may send to other regions.
    pub fn set_link_budget(&mut self, bytes_per_s: u64) {
        self.link_budget.set_rate(bytes_per_s);
    }

    /// Returns the locality of this daemon.
    #[must_use]
    pub const fn locality(&self) -> &Locality {
        &self.locality
    }

    /// Returns the number of jobs that this daemon runs on an upstream.
    #[must_use]
    pub fn outstanding(&self, upstream: &str) -> u32 {
        self.index(upstream)
            .map_or(0, |index| self.members[index].outstanding)
    }

    /// Returns whether a live upstream serves a target, even if it has no free slot.
    #[must_use]
    pub fn serves(&self, target: &Target) -> bool {
        let Some(group) = self.group(target) else {
            return false;
        };
        let mut members = self.groups[group]
            .trees
            .iter()
            .flat_map(CandidateTree::members);
        members.any(|&member| self.members[member as usize].is_live())
    }

    /// Returns the slow-down of an upstream that is slow enough to be ejected.
    #[must_use]
    pub fn straggler(&self, upstream: &str) -> Option<f64> {
        let member = &self.members[self.index(upstream)?];
        (member.slowdown > outlier_detection::EJECT_SLOWDOWN).then_some(member.slowdown)
    }

    /// Returns whether a live upstream's assumed capacity is still recovering from a rejection.
    #[must_use]
    pub fn is_recovering(&self) -> bool {
        let mut members = self.members.iter();
        members.any(|member| member.is_usable() && member.has_reduced_capacity())
    }

    /// Returns sums about the reuse of shared prompt parts.
    #[must_use]
    pub const fn reuse_totals(&self) -> ReuseTotals {
        self.reuse_totals
    }

    /// Returns the status of each configured upstream, sorted by name.
    #[must_use]
    pub fn statuses(&self) -> Vec<UpstreamStatus> {
        let now_us = self.now_us;
        let configured = self.members.iter().filter(|member| member.configured);
        let status = |member: &Member| UpstreamStatus {
            upstream: member.name.clone(),
            weight: member.weight(now_us),
            slowdown: member.slowdown,
            ejected: member.ejected,
            is_down: member.down_since_us.is_some(),
            outstanding: member.outstanding,
        };
        configured.map(status).collect()
    }

    fn index(&self, upstream: &str) -> Option<usize> {
        self.members
            .binary_search_by(|member| member.name.as_ref().cmp(upstream))
            .ok()
    }

    fn index_of_id(&self, id: u64) -> Option<usize> {
        let found = self.ids.binary_search_by_key(&id, |&(id, _)| id);
        found.ok().map(|index| self.ids[index].1 as usize)
    }

    fn group(&self, target: &Target) -> Option<usize> {
        let found = self
            .groups
            .binary_search_by(|group| group.cmp_target(target));
        found.ok()
    }

    const fn advance(&mut self, now_us: u64) -> u64 {
        if now_us > self.now_us {
            self.now_us = now_us;
        }
        self.now_us
    }
}

const fn is_leaving(state: UpstreamLifecycle) -> bool {
    matches!(state, UpstreamLifecycle::Leaving)
}
