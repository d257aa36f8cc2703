//! Engines from which another may fetch the cached parts of a prompt.

use super::{
    Pool,
    placement::{HOME_HIT_CHANCE, Homes, ROUND_TRIP_US},
};
use crate::{
    PromptPart, RouteRequest,
    group::DISTANCES,
    member::Member,
    reuse::{Holding, Source, Supply},
};

/// Chance that an engine still keeps the parts of a prompt that this daemon has sent to it.
const SENT_KEPT_CHANCE: f64 = 0.98;

/// Chance that the second home of a part keeps it, as a share of the chance of the first.
const SECOND_HOME_SHARE: f64 = 0.5;

/// Number of known keepers that are weighed besides the homes.
const KEEPERS: usize = 2;

/// Engines that probably keep the shared parts of one prompt: known keepers, then homes.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Sources([Option<Source>; KEEPERS + 2]);

impl Pool {
    /// Returns the engines that probably keep the shared parts of a prompt and are well enough to
    /// be fetched from.
    pub(super) fn sources(
        &self,
        now_us: u64,
        group: usize,
        parts: &[PromptPart],
        homes: Homes,
    ) -> Sources {
        let mut sources = Sources::default();
        let shared = shared_parts(parts);
        let shared_tokens: u32 = shared.iter().map(|part| part.tokens).sum();
        if shared_tokens == 0 {
            return sources;
        }
        let trees = self.groups[group].trees.iter();
        for index in trees.flat_map(|tree| tree.members().iter().copied()) {
            let index = index as usize;
            let member = &self.members[index];
            let kept_tokens = member.engine.cache.complete_tokens(now_us, shared);
            let home_chance = if homes.first == Some(index) {
                HOME_HIT_CHANCE
            } else if homes.second == Some(index) {
                HOME_HIT_CHANCE * SECOND_HOME_SHARE
            } else {
                0.0
            };
            if kept_tokens == 0 && home_chance == 0.0 || !can_be_source(member, now_us) {
                continue;
            }
            let source = |tokens: u32, kept_chance| Source {
                engine: index,
                tokens: f64::from(tokens),
                kept_chance,
                busy_us: to_f64(member.engine.transfers_end_us.saturating_sub(now_us)),
            };
            if kept_tokens > 0 {
                sources.insert_keeper(source(kept_tokens, SENT_KEPT_CHANCE));
            } else if homes.first == Some(index) {
                sources.0[KEEPERS] = Some(source(shared_tokens, home_chance));
            } else {
                sources.0[KEEPERS + 1] = Some(source(shared_tokens, home_chance));
            }
        }
        sources
    }

    /// Returns how an engine is expected to get the shared parts of a prompt.
    pub(super) fn supply(
        &self,
        index: usize,
        parts: &[PromptPart],
        homes: Homes,
        sources: &Sources,
    ) -> Supply {
        let member = &self.members[index];
        let cohort = &self.cohorts[member.cohort as usize];
        let shared = shared_parts(parts);
        let shared_tokens: u32 = shared.iter().map(|part| part.tokens).sum();
        let fetch_token_us = self.fetch_token_us(index);
        let kept_tokens = member.engine.cache.kept_tokens(shared);
        let is_known = shared_tokens > 0 && kept_tokens == shared_tokens;
        let (kept_tokens, kept_chance) = if is_known && fetch_token_us.is_some() {
            // What was sent to it may be lost, and a fetch of what it keeps takes nothing.
            (0, SENT_KEPT_CHANCE)
        } else if homes.first == Some(index) {
            (kept_tokens, HOME_HIT_CHANCE)
        } else {
            (kept_tokens, 0.0)
        };
        let holding = Holding {
            shared_tokens: f64::from(shared_tokens),
            kept_tokens: f64::from(kept_tokens),
            kept_chance,
            is_known,
            read_token_us: cohort.token_us() * member.slowdown.max(1.0),
            fetch_token_us: fetch_token_us.unwrap_or(0.0),
        };
        if fetch_token_us.is_none() {
            return holding.read();
        }
        let others = sources.0.iter().flatten();
        let others = others.filter(|source| source.engine != index);
        holding.supply(others.map(|source| {
            let distance = distance(member, &self.members[source.engine]);
            (*source, ROUND_TRIP_US[distance])
        }))
    }

    /// Returns how an engine is expected to get the shared parts of a prompt that is sent to it.
    pub(super) fn supply_at(
        &self,
        now_us: u64,
        index: usize,
        request: &RouteRequest<'_>,
    ) -> Supply {
        let Some(group) = self.group(request.target) else {
            return Supply::default();
        };
        let homes = self.homes(group, request.parts);
        let sources = self.sources(now_us, group, request.parts, homes);
        self.supply(index, request.parts, homes, &sources)
    }

    /// Returns the time in which an engine fetches a cached token; `None` if that isn't declared.
    pub(super) fn fetch_token_us(&self, index: usize) -> Option<f64> {
        self.members[index].settings.engine?.fetch_token_us()
    }

    /// Records the transfer of a fetch at both engines.
    pub(super) fn start_fetch(&mut self, now_us: u64, index: usize, supply: &Supply) {
        let Some(source) = supply.source else { return };
        self.reuse_totals.fetches += 1;
        self.reuse_totals.fetched_tokens += supply.fetched_tokens;
        let transfer_us = supply.fetched_tokens * self.fetch_token_us(index).unwrap_or(0.0);
        for index in [source, index] {
            let engine = &mut self.members[index].engine;
            engine.transfers_end_us = engine.transfers_end_us.max(now_us) + to_u64(transfer_us);
        }
    }
}

impl Sources {
    /// Adds a known keeper if it is among the best: those that keep most, then the least busy.
    fn insert_keeper(&mut self, keeper: Source) {
        let is_better =
            |other: &Source| (keeper.tokens, -keeper.busy_us) > (other.tokens, -other.busy_us);
        let keepers = &mut self.0[..KEEPERS];
        let position = keepers
            .iter()
            .position(|other| other.as_ref().is_none_or(is_better));
        if let Some(position) = position {
            keepers[position..].rotate_right(1);
            keepers[position] = Some(keeper);
        }
    }
}

/// Returns the parts of a prompt that other prompts may share: all but the last.
fn shared_parts(parts: &[PromptPart]) -> &[PromptPart] {
    parts.split_last().map_or(&[], |(_, shared)| shared)
}

/// Returns whether other engines may fetch from an engine: it is live, and it didn't fail, slow down
/// or ask for a pause.
fn can_be_source(member: &Member, now_us: u64) -> bool {
    member.accepts_requests() && !member.ejected && !member.is_failing(now_us)
}

/// Returns the distance class between two engines.
fn distance(a: &Member, b: &Member) -> usize {
    match (
        a.settings.region == b.settings.region,
        a.settings.zone == b.settings.zone,
    ) {
        (true, true) => 0,
        (true, false) => 1,
        (false, _) => DISTANCES - 1,
    }
}

#[expect(clippy::cast_precision_loss, reason = "intervals are far below 2^52")]
const fn to_f64(value_us: u64) -> f64 {
    value_us as f64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float that is too large becomes the largest integer"
)]
pub(super) const fn to_u64(value_us: f64) -> u64 {
    value_us as u64
}
