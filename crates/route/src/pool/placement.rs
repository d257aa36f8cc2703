//! Placement of prompts on model engines by the expected prefill work.
//!
//! The scarce resource of an engine is its prefill time, not its slots: the prefill of a long
//! prompt delays the next token of every answer on the same engine. Three factors determine the
//! cost of an engine:
//!
//! - The expected time to first token: all unread prompts of the same or a higher tier, and the
//!   uncached part of the new prompt.
//! - The delay of short answers that run beside a long prompt. Some engines of each region are
//!   reserved for short prompts; short and long prompts still use each other's engines when that is
//!   faster.
//! - Where a prompt's shared part is cached. Rendezvous hashing gives each shared part the same
//!   home engine in every daemon, so that it is processed once and without messages.

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Pool;
use crate::{
    AttemptOutcome, EngineLoad, PromptPart, RouteRequest, candidate_tree::CandidateTree,
    engine_state::SHORT_PROMPT_MAX_TOKENS, group::DISTANCES,
};

/// Cost of distance: the round trip, plus the price of traffic between zones and regions converted
/// to a delay that callers value the same.
const DISTANCE_US: [f64; DISTANCES] = [0.0, 8_000.0, 100_000.0];

/// Probability that the home of a shared part has it cached although this daemon didn't send it.
const HOME_HIT_CHANCE: f64 = 0.6;

/// Cost per token of caching a shared part on one more engine, in addition to its prefill time. It
/// takes memory from other parts and prefill time from other prompts.
const COPY_TOKEN_US: f64 = 600.0;

/// Factor on that cost for the second home, so that copies of a shared part in high demand
/// concentrate on few engines.
const SECOND_HOME_COPY_FACTOR: f64 = 0.6;

/// Cost of a long prompt on an engine that is reserved for short ones.
const LONG_AMONG_SHORT_US: f64 = 900_000.0;

/// Cost of a short prompt on an engine that isn't reserved for short ones.
const SHORT_AMONG_LONG_US: f64 = 400_000.0;

/// Share of a prompt's prefill time that counts as delay of each short answer on the same engine.
const DELAY_WEIGHT: f64 = 0.25;

/// Cost of each answer in an engine's batch.
const BATCH_REQUEST_US: f64 = 1_500.0;

/// Largest random cost, so that daemons order equal engines differently.
const JITTER_US: f64 = 1_000.0;

/// One engine in this many of a region is reserved for short prompts, rounded to the nearest
/// number.
const SHORT_ENGINES_DIVISOR: usize = 6;

/// Engines that should cache the shared part of a prompt, ranked first and second by rendezvous
/// hashing.
#[derive(Debug, Clone, Copy, Default)]
struct Homes {
    first: Option<usize>,
    second: Option<usize>,
}

impl Pool {
    /// Selects the engine of a group for a prompt; `None` if none can take it.
    ///
    /// Prefers healthy engines, then any engine with a free slot, then the one to be avoided.
    pub(super) fn best_engine(
        &self,
        now_us: u64,
        group: usize,
        request: &RouteRequest<'_>,
    ) -> Option<usize> {
        let healthy = self.best_engine_among(now_us, group, request, true);
        healthy
            .or_else(|| self.best_engine_among(now_us, group, request, false))
            .or_else(|| {
                let avoided = request.avoid.and_then(|name| self.index(name))?;
                let should_wait = self.should_wait_for_healthy(now_us, group, avoided);
                let any = RouteRequest {
                    avoid: None,
                    ..*request
                };
                (!should_wait).then(|| self.best_engine_among(now_us, group, &any, false))?
            })
    }

    /// Returns whether a prompt that avoids a failing engine should wait for a healthy engine
    /// instead of going back to it.
    fn should_wait_for_healthy(&self, now_us: u64, group: usize, avoided: usize) -> bool {
        let trees = self.groups[group].trees.iter();
        let mut members = trees.flat_map(CandidateTree::members);
        self.members[avoided].is_failing(now_us)
            && members.any(|&index| {
                let member = &self.members[index as usize];
                member.is_usable() && !member.ejected && !member.is_failing(now_us)
            })
    }

    /// Selects the engine with the lowest cost that has a free slot and isn't to be avoided.
    fn best_engine_among(
        &self,
        now_us: u64,
        group: usize,
        request: &RouteRequest<'_>,
        healthy_only: bool,
    ) -> Option<usize> {
        let homes = self.homes(group, request.parts);
        let members = self.groups[group].trees.iter().enumerate();
        // Each distance has two trees.
        let members = members.flat_map(|(tree, entry)| {
            entry
                .members()
                .iter()
                .map(move |&member| (tree / 2, member as usize))
        });
        let mut best: Option<(f64, usize)> = None;
        for (distance, index) in members {
            let member = &self.members[index];
            let eligible =
                member.is_usable() && member.has_room() && request.avoid != Some(&*member.name);
            if !eligible || healthy_only && (member.ejected || member.is_failing(now_us)) {
                continue;
            }
            let cost_us = self.placement_cost_us(now_us, request, index, distance, homes);
            if best.is_none_or(|(least_us, _)| cost_us < least_us) {
                best = Some((cost_us, index));
            }
        }
        best.map(|(_, index)| index)
    }

    /// Returns the cost of a prompt on an engine.
    fn placement_cost_us(
        &self,
        now_us: u64,
        request: &RouteRequest<'_>,
        index: usize,
        distance: usize,
        homes: Homes,
    ) -> f64 {
        let member = &self.members[index];
        let cohort = &self.cohorts[member.cohort as usize];
        let token_us = cohort.first_token.slope();
        let work = member.engine.work(now_us, token_us);
        let all_tokens: u32 = request.parts.iter().map(|part| part.tokens).sum();
        let unread_tokens = member.engine.cache.unread_tokens(request.parts);
        let own_tokens = request.parts.last().map_or(0, |part| part.tokens);
        let shared = f64::from(unread_tokens.saturating_sub(own_tokens));
        let mut unread = f64::from(unread_tokens);
        let mut copy_us = COPY_TOKEN_US * shared;
        if homes.first == Some(index) {
            unread -= HOME_HIT_CHANCE * shared;
            copy_us = 0.0;
        } else if homes.second == Some(index) {
            copy_us *= SECOND_HOME_COPY_FACTOR;
        }
        let work_tokens = work.ahead_tokens(request.tier) + unread;
        let slowdown = member.slowdown.max(1.0);
        let mut cost_us = cohort.first_token.predict(work_tokens) * slowdown;
        cost_us += DISTANCE_US[distance] + copy_us;
        cost_us += BATCH_REQUEST_US * (work.running + f64::from(member.outstanding)) * slowdown;
        cost_us += DELAY_WEIGHT * unread * token_us * work.short_running;
        let short = all_tokens <= SHORT_PROMPT_MAX_TOKENS;
        if short {
            cost_us += DELAY_WEIGHT * work.all_tokens() * token_us;
        }
        cost_us += match (short, member.engine.reserved_for_short) {
            (true, false) => SHORT_AMONG_LONG_US,
            (false, true) => LONG_AMONG_SHORT_US,
            _ => 0.0,
        };
        cost_us + member.jitter * JITTER_US
    }

    /// Returns the first and second home of a prompt's last shared part.
    ///
    /// They are the same in every daemon and may be in another region, because processing a part
    /// again takes longer than the round trip.
    fn homes(&self, group: usize, parts: &[PromptPart]) -> Homes {
        let mut homes = Homes::default();
        let Some(shared) = parts.len().checked_sub(2).map(|index| parts[index]) else {
            return homes;
        };
        let (mut first, mut second) = (0, 0);
        let trees = self.groups[group].trees.iter();
        for index in trees
            .flat_map(CandidateTree::members)
            .map(|&index| index as usize)
        {
            let member = &self.members[index];
            if !member.is_live() || member.engine.reserved_for_short {
                continue;
            }
            let rank = xxh3_64_with_seed(&shared.id.to_le_bytes(), member.id);
            if rank > first {
                (second, homes.second) = (first, homes.first);
                (first, homes.first) = (rank, Some(index));
            } else if rank > second {
                (second, homes.second) = (rank, Some(index));
            }
        }
        homes
    }

    /// Selects the engines of each region that are reserved for short prompts.
    pub(super) fn reserve_engines_for_short(&mut self) {
        for member in &mut self.members {
            member.engine.reserved_for_short = false;
        }
        for group in 0..self.groups.len() {
            let trees = self.groups[group].trees.iter();
            let members = trees.flat_map(|tree| tree.members().iter().copied());
            let mut engines: Vec<(String, u64, u32)> = members
                .filter(|&index| {
                    let member = &self.members[index as usize];
                    member.is_live() && member.settings.engine.is_some()
                })
                .map(|index| {
                    let member = &self.members[index as usize];
                    (member.settings.region.clone(), member.id, index)
                })
                .collect();
            engines.sort_unstable();
            for region in engines.chunk_by(|a, b| a.0 == b.0) {
                for &(_, _, index) in
                    &region[..(region.len() + SHORT_ENGINES_DIVISOR / 2) / SHORT_ENGINES_DIVISOR]
                {
                    self.members[index as usize].engine.reserved_for_short = true;
                }
            }
        }
    }

    /// Records the work and the cached parts that a prompt adds to an engine.
    ///
    /// Returns the tokens that are processed before its first token: its own and those ahead of it.
    pub(super) fn start_prompt(
        &mut self,
        now_us: u64,
        index: usize,
        request: &RouteRequest<'_>,
    ) -> f64 {
        let member = &mut self.members[index];
        let cohort = &self.cohorts[member.cohort as usize];
        let kv_capacity_tokens = member
            .settings
            .engine
            .map_or(0, |engine| engine.cache_tokens);
        let engine = &mut member.engine;
        let ahead = engine.work(now_us, cohort.first_token.slope());
        let unread_tokens = engine.cache.unread_tokens(request.parts);
        let all_tokens: u32 = request.parts.iter().map(|part| part.tokens).sum();
        let short = all_tokens <= SHORT_PROMPT_MAX_TOKENS;
        engine.start(now_us, request.job, request.tier, unread_tokens, short);
        engine
            .cache
            .insert(now_us, request.parts, kv_capacity_tokens);
        ahead.ahead_tokens(request.tier) + f64::from(unread_tokens)
    }

    /// Records that an engine has processed the prompt of a job.
    pub fn record_prompt_read(&mut self, now_us: u64, upstream: &str, job: u64) {
        if let Some(index) = self.index(upstream) {
            self.members[index].engine.record_first_token(now_us, job);
        }
    }

    /// Records that a job no longer runs on an engine. A failed connection clears the engine's
    /// assumed cache.
    pub fn prompt_ended(&mut self, upstream: &str, job: u64, outcome: AttemptOutcome) {
        if let Some(index) = self.index(upstream) {
            let engine = &mut self.members[index].engine;
            engine.end(job);
            if outcome == AttemptOutcome::ConnectFailed {
                engine.cache.clear();
            }
        }
    }

    /// Returns this daemon's load on each engine that has any, sorted by name.
    #[must_use]
    pub fn engine_loads(&self) -> Vec<(Arc<str>, EngineLoad)> {
        let loads = self
            .members
            .iter()
            .map(|member| (member.name.clone(), member.engine.own_load()));
        loads.filter(|(_, load)| !load.is_idle()).collect()
    }

    /// Returns the names of the model engines, sorted.
    #[must_use]
    pub fn engines(&self) -> Vec<Arc<str>> {
        let members = self.members.iter();
        let engines = members.filter(|member| member.settings.engine.is_some());
        engines.map(|member| member.name.clone()).collect()
    }

    /// Sets the load of all other daemons on an engine, as they reported it.
    pub fn set_peer_load(&mut self, now_us: u64, upstream: &str, load: EngineLoad) {
        if let Some(index) = self.index(upstream) {
            self.members[index].engine.set_peer_load(now_us, load);
        }
    }
}
