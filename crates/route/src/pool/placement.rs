//! Placement of prompts on model engines by the work that an engine has to do first.
//!
//! What is scarce on an engine is the time to read prompts, not its slots: a long prompt delays the
//! next token of every answer beside it. Three things decide:
//!
//! - The expected time to the first token: all unread prompts of the same or a higher tier, and
//!   what of the new prompt isn't cached.
//! - The delay for short answers that run beside a long prompt. Some engines of each region are
//!   kept for short prompts; both kinds use the others' engines when that is faster all the same.
//! - Where a prompt's shared part is cached. Rendezvous hashing gives each shared part the same
//!   home engine in every daemon, so that it is read once and no messages are needed.

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Pool;
use crate::{
    AttemptOutcome, EngineLoad, PromptPart, RouteRequest, engine_state::SHORT_TOKENS,
    group::DISTANCES, lane::Lane,
};

/// Cost of distance: round trip, and the price of traffic between zones and regions expressed as
/// the delay that callers value alike.
const DISTANCE_US: [f64; DISTANCES] = [0.0, 8_000.0, 100_000.0];

/// Chance that the home of a shared part keeps it although this daemon did not send it there.
const HOME_CHANCE: f64 = 0.6;

/// Cost of reading a shared token on one more engine, beside the time that it takes: it uses memory
/// that another part could use, and time that other prompts need.
const COPY_US: f64 = 600.0;

/// Part of that cost on the engine that is next in line after the home, so that copies of a part in
/// great demand gather on few engines.
const SECOND_HOME: f64 = 0.6;

/// Cost of a long prompt on an engine that is kept for short ones, and the reverse.
const LONG_AMONG_SHORT_US: f64 = 900_000.0;
const SHORT_AMONG_LONG_US: f64 = 400_000.0;

/// Part of the reading time by which a short answer beside it counts as delayed.
const DELAY_WEIGHT: f64 = 0.25;

/// Cost of one more answer in an engine's batch.
const BATCH_US: f64 = 1_500.0;

/// Largest difference by chance, so that daemons order equal engines differently.
const JITTER_US: f64 = 1_000.0;

/// One engine in this many of a region is kept for short prompts, rounded to the nearest number.
const SHORT_ENGINES_DIVISOR: usize = 6;

/// Engines on which a shared part of a prompt is kept.
#[derive(Debug, Clone, Copy, Default)]
struct Homes {
    first: Option<usize>,
    second: Option<usize>,
}

impl Pool {
    /// Chooses the engine of a group for a prompt; `None` if none can take it.
    pub(super) fn best_engine(
        &self,
        now_us: u64,
        group: usize,
        need: &RouteRequest<'_>,
    ) -> Option<usize> {
        let sound = self.best_engine_among(now_us, group, need, true);
        sound
            .or_else(|| self.best_engine_among(now_us, group, need, false))
            .or_else(|| {
                let avoided = need.avoid.and_then(|name| self.index(name))?;
                let waits = self.is_worse_than_waiting(now_us, group, avoided);
                let any = RouteRequest {
                    avoid: None,
                    ..*need
                };
                (!waits).then(|| self.best_engine_among(now_us, group, &any, false))?
            })
    }

    /// Returns whether a prompt that avoids a failing engine should rather wait for a sound one.
    fn is_worse_than_waiting(&self, now_us: u64, group: usize, avoided: usize) -> bool {
        let lanes = self.groups[group].lanes.iter();
        let mut members = lanes.flat_map(Lane::members);
        self.members[avoided].is_failing(now_us)
            && members.any(|&index| {
                let member = &self.members[index as usize];
                member.is_usable() && !member.ejected && !member.is_failing(now_us)
            })
    }

    fn best_engine_among(
        &self,
        now_us: u64,
        group: usize,
        need: &RouteRequest<'_>,
        sound: bool,
    ) -> Option<usize> {
        let homes = self.homes(group, need.parts);
        let members = self.groups[group].lanes.iter().enumerate();
        let members = members.flat_map(|(lane, entry)| {
            entry
                .members()
                .iter()
                .map(move |&member| (lane / 2, member as usize))
        });
        let mut best: Option<(f64, usize)> = None;
        for (distance, index) in members {
            let member = &self.members[index];
            let fit = member.is_usable() && member.has_room() && need.avoid != Some(&*member.name);
            if !fit || sound && (member.ejected || member.is_failing(now_us)) {
                continue;
            }
            let cost_us = self.placement_cost_us(now_us, need, index, distance, homes);
            if best.is_none_or(|(least_us, _)| cost_us < least_us) {
                best = Some((cost_us, index));
            }
        }
        best.map(|(_, index)| index)
    }

    fn placement_cost_us(
        &self,
        now_us: u64,
        need: &RouteRequest<'_>,
        index: usize,
        distance: usize,
        homes: Homes,
    ) -> f64 {
        let member = &self.members[index];
        let cohort = &self.cohorts[member.cohort as usize];
        let token_us = cohort.first_token.slope();
        let work = member.engine.work(now_us, token_us);
        let all_tokens: u32 = need.parts.iter().map(|part| part.tokens).sum();
        let unread_tokens = member.engine.cache.unread_tokens(need.parts);
        let own_tokens = need.parts.last().map_or(0, |part| part.tokens);
        let shared = f64::from(unread_tokens.saturating_sub(own_tokens));
        let mut unread = f64::from(unread_tokens);
        let mut copy_us = COPY_US * shared;
        if homes.first == Some(index) {
            unread -= HOME_CHANCE * shared;
            copy_us = 0.0;
        } else if homes.second == Some(index) {
            copy_us *= SECOND_HOME;
        }
        let work_tokens = work.ahead_tokens(need.tier) + unread;
        let slowdown = member.slowdown.max(1.0);
        let mut cost_us = cohort.first_token.predict(work_tokens) * slowdown;
        cost_us += DISTANCE_US[distance] + copy_us;
        cost_us += BATCH_US * (work.running + f64::from(member.outstanding)) * slowdown;
        cost_us += DELAY_WEIGHT * unread * token_us * work.short_running;
        let short = all_tokens <= SHORT_TOKENS;
        if short {
            cost_us += DELAY_WEIGHT * work.all_tokens() * token_us;
        }
        cost_us += match (short, member.engine.keeps_short) {
            (true, false) => SHORT_AMONG_LONG_US,
            (false, true) => LONG_AMONG_SHORT_US,
            _ => 0.0,
        };
        cost_us + member.jitter * JITTER_US
    }

    /// Returns the engines that are the first and second home of a prompt's last shared part.
    ///
    /// They are the same for every daemon: reading a part once more takes longer than the way to
    /// another region.
    fn homes(&self, group: usize, parts: &[PromptPart]) -> Homes {
        let mut homes = Homes::default();
        let Some(shared) = parts.len().checked_sub(2).map(|index| parts[index]) else {
            return homes;
        };
        let (mut first, mut second) = (0, 0);
        let lanes = self.groups[group].lanes.iter();
        for index in lanes.flat_map(Lane::members).map(|&index| index as usize) {
            let member = &self.members[index];
            if !member.is_live() || member.engine.keeps_short {
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

    /// Chooses the engines of each region that are kept for short prompts.
    pub(super) fn keep_engines_for_short(&mut self) {
        for member in &mut self.members {
            member.engine.keeps_short = false;
        }
        for group in 0..self.groups.len() {
            let lanes = self.groups[group].lanes.iter();
            let members = lanes.flat_map(|lane| lane.members().iter().copied());
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
                    self.members[index as usize].engine.keeps_short = true;
                }
            }
        }
    }

    /// Notes the work and the cached parts that a prompt brings to an engine.
    ///
    /// Returns the tokens that are read before its first token: its own and those ahead of it.
    pub(super) fn note_prompt(
        &mut self,
        now_us: u64,
        index: usize,
        need: &RouteRequest<'_>,
    ) -> f64 {
        let member = &mut self.members[index];
        let cohort = &self.cohorts[member.cohort as usize];
        let memory_tokens = member
            .settings
            .engine
            .map_or(0, |engine| engine.cache_tokens);
        let engine = &mut member.engine;
        let ahead = engine.work(now_us, cohort.first_token.slope());
        let unread_tokens = engine.cache.unread_tokens(need.parts);
        let all_tokens: u32 = need.parts.iter().map(|part| part.tokens).sum();
        let short = all_tokens <= SHORT_TOKENS;
        engine.start(now_us, need.job, need.tier, unread_tokens, short);
        engine.cache.insert(now_us, need.parts, memory_tokens);
        ahead.ahead_tokens(need.tier) + f64::from(unread_tokens)
    }

    /// Notes that an engine has read the prompt of a job.
    pub fn prompt_read(&mut self, now_us: u64, upstream: &str, job: u64) {
        if let Some(index) = self.index(upstream) {
            self.members[index].engine.first_token(now_us, job);
        }
    }

    /// Notes that a job no longer runs on an engine.
    pub fn prompt_ended(&mut self, upstream: &str, job: u64, ending: AttemptOutcome) {
        if let Some(index) = self.index(upstream) {
            let engine = &mut self.members[index].engine;
            engine.end(job);
            if ending == AttemptOutcome::ConnectFailed {
                engine.cache.clear();
            }
        }
    }

    /// Returns this daemon's own work on each engine that has some, sorted by name.
    #[must_use]
    pub fn engine_loads(&self) -> Vec<(Arc<str>, EngineLoad)> {
        let loads = self
            .members
            .iter()
            .map(|member| (member.name.clone(), member.engine.own()));
        loads.filter(|(_, load)| !load.is_idle()).collect()
    }

    /// Returns the names of the engines whose work is known, sorted.
    #[must_use]
    pub fn engines(&self) -> Vec<Arc<str>> {
        let members = self.members.iter();
        let engines = members.filter(|member| member.settings.engine.is_some());
        engines.map(|member| member.name.clone()).collect()
    }

    /// Sets the work of all other daemons on an engine, as they told it.
    pub fn set_peer_load(&mut self, now_us: u64, upstream: &str, load: EngineLoad) {
        if let Some(index) = self.index(upstream) {
            self.members[index].engine.set_foreign(now_us, load);
        }
    }
}
