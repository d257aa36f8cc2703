//! Placement of prompts on model engines by the expected number of late requests.
//!
//! The scarce resource of an engine is its prefill time, not its slots: the prefill of a long
//! prompt delays the next event of every stream on the same engine. The cost of an engine is the
//! number of requests that are expected to miss their targets because of the placement:
//!
//! - The new request, by its expected first event (all unread prompts of the same or a higher tier,
//!   and the uncached part of its own), and by the gaps that its stream is expected to meet.
//! - The streams that already run there, by the gap that the prefill causes.
//! - Other requests, by the prefill time and the memory that the prompt takes from them. Rendezvous
//!   hashing gives each shared part the same home engine in every daemon, so that it is processed
//!   once and without messages.
//!
//! Some engines of each region are reserved for short prompts as [`Partition`] decides; no shared
//! part has its home there.
//!
//! [`Partition`]: crate::partition::Partition

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    Pool,
    sources::{Sources, to_u64},
};
use crate::{
    AttemptOutcome, LoadAnnouncement, PeerLoads, PromptPart, RouteRequest,
    candidate_tree::CandidateTree,
    cohort::Cohort,
    engine_state::{Background, MemoryDemand, Work},
    gap_class::GAP_CLASS_TARGETS_US,
    group::DISTANCES,
    lateness::late_chance,
    member::Member,
    partition::{MeanLoad, PromptSample},
    reuse::Supply,
    uncertainty::Uncertainty,
};

/// Round trip to an engine by distance.
pub(super) const ROUND_TRIP_US: [f64; DISTANCES] = [0.0, 3_000.0, 60_000.0];

/// Cost of distance: traffic between zones and regions takes bandwidth from other requests.
const DISTANCE_COST: [f64; DISTANCES] = [0.0, 0.008, 0.1];

/// Probability that the home of a shared part has it cached although this daemon didn't send it.
pub(super) const HOME_HIT_CHANCE: f64 = 0.6;

/// Cost of a copied shared part, as a multiple of its prefill time: the copy also takes memory from
/// other parts, which are then read again.
const COPY_FACTOR: f64 = 15.0;

/// Part of the cost of a copy that counts at the second home, so that copies of a shared part in high
/// demand concentrate on few engines.
const SECOND_HOME_COPY_SHARE: f64 = 0.6;

/// Part of a request's worth that is lost if its first event is late; the rest is lost at its
/// deadline.
const LATE_PART: f64 = 0.5;

/// Price of a wait as long as the target, in late requests. Unlike the chance of being late it also
/// tells short waits apart.
const WAIT_PRICE: f64 = 0.7;

/// Target for the first event of requests that have none.
const DEFAULT_TARGET_US: f64 = 1_000_000.0;

/// Longest wait in targets that is told apart. Requests that are late anyway must not move to the
/// engines that are reserved for others.
const WAIT_MAX: f64 = 2.0;

/// Price of an engine whose queue is longer than its callers wait. It exceeds the cost of a copy, so
/// that a subject in great demand spreads to several engines.
const HOPELESS_PRICE: f64 = 50.0;

/// Multiple of the time to the deadline from which a queue counts as hopeless. At a crest, all
/// engines have long queues, and copies would only make them longer.
const HOPELESS_FACTOR: f64 = 1.5;

/// Deadline of requests that have none.
const DEFAULT_DEADLINE_US: f64 = 10_000_000.0;

/// Smallest mean prefill time to which a prompt's is related.
const MEAN_PREFILL_MIN_US: f64 = 1_000.0;

/// Largest random cost, so that daemons order equal engines differently.
const JITTER_COST: f64 = 0.01;

/// Smoothing factor of the mean load, each 200 ms.
const BACKGROUND_GAIN: f64 = 0.04;

/// Interval at which the division of the engines is weighed again.
const PARTITION_INTERVAL_US: u64 = 1_000_000;

/// Engines that should cache the shared part of a prompt, ranked first and second by rendezvous
/// hashing.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Homes {
    pub(super) first: Option<usize>,
    pub(super) second: Option<usize>,
}

/// Prompt that was placed on an engine.
#[derive(Debug, Clone, Copy)]
pub(super) struct StartedPrompt {
    /// Tokens that are processed before its first token, its own and those ahead of it.
    pub(super) work_tokens: f64,
    /// Bounds of its first event, if it isn't known whether the engine gets the shared parts
    /// without reading them.
    pub(super) uncertainty: Option<Uncertainty>,
    /// How the engine gets the shared parts.
    pub(super) supply: Supply,
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
        let sources = self.sources(now_us, group, request.parts, homes);
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
            let cost = self.placement_cost(now_us, request, index, distance, homes, &sources);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, index));
            }
        }
        best.map(|(_, index)| index)
    }

    /// Returns the cost of a prompt on an engine: the expected number of late requests.
    fn placement_cost(
        &self,
        now_us: u64,
        request: &RouteRequest<'_>,
        index: usize,
        distance: usize,
        homes: Homes,
        sources: &Sources,
    ) -> f64 {
        let member = &self.members[index];
        let cohort = &self.cohorts[member.cohort as usize];
        let token_us = cohort.token_us();
        let work = member.engine.work(now_us, token_us);
        let own_tokens = request.parts.last().map_or(0, |part| part.tokens);
        let unread_tokens = member.engine.cache.unread_tokens(request.parts);
        let mut supply = self.supply(index, request.parts, homes, sources);
        if member.engine.reserved_for_short {
            // A fetch doesn't make long prompts welcome there.
            supply = Supply {
                read_tokens: supply.read_tokens + supply.fetched_tokens,
                ..Supply::default()
            };
        }
        let copy_share = if supply.is_known || homes.first == Some(index) {
            0.0
        } else if homes.second == Some(index) {
            SECOND_HOME_COPY_SHARE
        } else {
            1.0
        };
        let unread = f64::from(unread_tokens.min(own_tokens)) + supply.read_tokens;
        let slowdown = member.slowdown.max(1.0);
        let ahead_tokens = work.ahead_tokens(request.tier) + unread;
        let first_event_us = cohort.first_event_us(ahead_tokens) * slowdown
            + ROUND_TRIP_US[distance]
            + supply.fetch_us;
        let prefill_us = unread * token_us * slowdown;
        let crowded = late_chance(
            work.all_running() + f64::from(member.outstanding),
            f64::from(member.settings.slots),
        );
        let own_us = f64::from(own_tokens) * token_us;
        let mean_prefill_us = cohort.partition.mean_prefill_us().unwrap_or(own_us);
        let mean_prefill_us = mean_prefill_us.max(MEAN_PREFILL_MIN_US);
        let needed_tokens = memory_demand(request).tokens();
        let occupancy = (work.held_tokens + needed_tokens) / member.memory_tokens();
        // A request that doesn't fit preempts another, which is late and read again.
        let memory_full = late_chance(occupancy, 1.0)
            * (1.0 + needed_tokens * token_us * slowdown / mean_prefill_us);
        // A fetched copy displaces other parts, the more the less memory requests leave for them.
        let displaced = supply.fetched_tokens * occupancy.min(1.0);
        let copy_us = (COPY_FACTOR * supply.read_tokens + displaced) * token_us;
        let transfer_us = supply.fetched_tokens * self.fetch_token_us(index).unwrap_or(0.0);
        let answer_us = answer_us(request, cohort, &work, slowdown);
        late_answer(now_us, request, first_event_us, answer_us)
            + late_gap(request, cohort, &work, slowdown)
            + delayed_streams(cohort, &work, prefill_us, slowdown)
            + prefill_us / mean_prefill_us
            + (copy_share * copy_us + transfer_us) / mean_prefill_us
            + crowded
            + memory_full
            + DISTANCE_COST[distance]
            + member.jitter * JITTER_COST
    }

    /// Returns the first and second home of a prompt's last shared part.
    ///
    /// They are the same in every daemon and may be in another region, because processing a part
    /// again takes longer than the round trip.
    pub(super) fn homes(&self, group: usize, parts: &[PromptPart]) -> Homes {
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
        for cohort in &mut self.cohorts {
            cohort.applied_share = cohort.reserved_share();
        }
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
                let index = region[0].2 as usize;
                let cohort = &self.cohorts[self.members[index].cohort as usize];
                let count = reserved_count(cohort.reserved_share(), region.len());
                for &(_, _, index) in &region[..count] {
                    self.members[index as usize].engine.reserved_for_short = true;
                }
            }
        }
    }

    /// Averages the load over the engines of each cohort, and weighs their division if that is due.
    ///
    /// The callers of one daemon are a sample of those of all, so the load of the daemons that told
    /// nothing lately is expected to be this daemon's own, spread over the engines of the same
    /// division.
    pub(super) fn update_partitions(&mut self, now_us: u64) {
        let others = f64::from(self.live_daemons.max(1) - 1);
        let unheard = others * (1.0 - self.heard_share);
        for (number, cohort) in self.cohorts.iter_mut().enumerate() {
            let token_us = cohort.token_us();
            let mut own = [Background::ZERO; 2];
            let mut counts = [0.0_f64; 2];
            let mut slots = 0.0;
            let is_engine = |member: &&mut Member| {
                member.cohort as usize == number
                    && member.is_live()
                    && member.settings.engine.is_some()
            };
            for member in self.members.iter_mut().filter(is_engine) {
                let division = usize::from(!member.engine.reserved_for_short);
                own[division].add(&member.engine.own_load(now_us));
                counts[division] += 1.0;
                slots += f64::from(member.settings.slots);
            }
            let count = counts[0] + counts[1];
            if count == 0.0 {
                continue;
            }
            for division in 0..2 {
                let mean = own[division].scaled(1.0 / counts[division].max(1.0));
                cohort.backgrounds[division].approach(&mean, BACKGROUND_GAIN);
            }
            let mut sum = MeanLoad::ZERO;
            for member in self.members.iter_mut().filter(is_engine) {
                let division = usize::from(!member.engine.reserved_for_short);
                let background = cohort.backgrounds[division].scaled(unheard);
                member.engine.set_background(background);
                let work = member.engine.work(now_us, token_us);
                sum.prefill_share += work.prefill_share;
                sum.running += work.all_running();
            }
            sum.slots = slots;
            cohort.mean_load = sum.divided_by(count);
            if now_us >= cohort.partition_due_us {
                cohort.partition_due_us = now_us.saturating_add(PARTITION_INTERVAL_US);
                cohort.partition.update(cohort.mean_load, &cohort.steps);
            }
        }
        let changed =
            |cohort: &Cohort| cohort.reserved_share().to_bits() != cohort.applied_share.to_bits();
        if self.cohorts.iter().any(changed) {
            self.reserve_engines_for_short();
        }
    }

    /// Records the work and the cached parts that a prompt adds to an engine.
    pub(super) fn start_prompt(
        &mut self,
        now_us: u64,
        index: usize,
        request: &RouteRequest<'_>,
    ) -> StartedPrompt {
        let supply = self.supply_at(now_us, index, request);
        self.start_fetch(now_us, index, &supply);
        let is_declared = self.fetch_token_us(index).is_some();
        let member = &mut self.members[index];
        let cohort = &mut self.cohorts[member.cohort as usize];
        let token_us = cohort.token_us();
        let kv_capacity_tokens = member
            .settings
            .engine
            .map_or(0, |engine| engine.cache_tokens);
        let engine = &mut member.engine;
        let ahead = engine.work(now_us, token_us);
        let unread_tokens = engine.cache.unread_tokens(request.parts);
        let own_tokens = request
            .parts
            .last()
            .map_or(0, |part| part.tokens.min(unread_tokens));
        engine.start(
            now_us,
            request.job,
            request.tier,
            unread_tokens,
            request.aims.event_gap_us,
        );
        engine.set_memory_demand(request.job, memory_demand(request));
        let ahead_tokens = ahead.ahead_tokens(request.tier);
        let work_tokens = ahead_tokens + f64::from(unread_tokens);
        let expected_us = cohort.first_token.predict(work_tokens);
        let complete_us = now_us.saturating_add(to_u64(expected_us * member.slowdown.max(1.0)));
        engine
            .cache
            .insert(now_us, complete_us, request.parts, kv_capacity_tokens);
        cohort.partition.record(PromptSample {
            prompt_tokens: request.parts.iter().map(|part| part.tokens).sum(),
            prefill_us: f64::from(unread_tokens) * token_us,
            events: cohort.expected_events(request.output_tokens_max),
            event_gap_us: to_f64(request.aims.event_gap_us),
            first_event_us: to_f64(request.aims.first_event_due_us.saturating_sub(now_us)),
        });
        let kept_tokens = ahead_tokens + f64::from(own_tokens);
        let first_token = &cohort.first_token;
        let uncertainty = Uncertainty::new(
            first_token.predict(kept_tokens),
            expected_us,
            first_token.predict(kept_tokens + supply.read_tokens) + supply.fetch_us,
        );
        StartedPrompt {
            work_tokens,
            uncertainty: uncertainty.filter(|_| is_declared && !supply.is_known),
            supply,
        }
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

    /// Returns this daemon's load on each engine that has any, and its estimates of their speed.
    #[must_use]
    pub fn load_announcement(&self, now_us: u64) -> LoadAnnouncement {
        let engines = self.members.iter().filter_map(|member| {
            let load = member.engine.own_load(now_us);
            (!load.is_idle()).then_some((member.id, load))
        });
        let kinds = self
            .cohorts
            .iter()
            .filter(|cohort| cohort.partition.has_samples())
            .map(|cohort| (cohort.kind(), cohort.own_estimate()));
        let mut announcement = LoadAnnouncement {
            engines: engines.collect(),
            kinds: kinds.collect(),
        };
        announcement
            .engines
            .sort_unstable_by_key(|&(engine, _)| engine);
        announcement.kinds.sort_unstable_by_key(|&(kind, _)| kind);
        announcement
    }

    /// Applies what all other daemons announced.
    #[expect(clippy::cast_precision_loss, reason = "far fewer than 2^52 daemons")]
    pub fn apply_peer_loads(&mut self, now_us: u64, peer_loads: &PeerLoads) {
        let others = f64::from(self.live_daemons.max(2) - 1);
        self.heard_share = (peer_loads.heard() as f64 / others).min(1.0);
        for member in &mut self.members {
            if member.settings.engine.is_some() {
                let load = peer_loads.total_on(member.id);
                member.engine.set_peer_load(now_us, load);
            }
        }
        for cohort in &mut self.cohorts {
            if cohort.partition.has_samples() {
                let own = cohort.own_estimate();
                cohort.fleet_estimate = Some(peer_loads.median_estimate(cohort.kind(), own));
            }
        }
    }
}

/// Returns the cost of a first event that is expected after `first_event_us`, and of an answer that
/// is expected to take `answer_us` after it.
fn late_answer(
    now_us: u64,
    request: &RouteRequest<'_>,
    first_event_us: f64,
    answer_us: f64,
) -> f64 {
    let left_us = |due_us: u64, default_us: f64| match due_us {
        0 => default_us,
        _ => to_f64(due_us.saturating_sub(now_us)),
    };
    let target_us = left_us(request.aims.first_event_due_us, DEFAULT_TARGET_US);
    let deadline_us = left_us(request.deadline_us, DEFAULT_DEADLINE_US);
    WAIT_PRICE * (first_event_us / target_us.max(1.0)).min(WAIT_MAX)
        + LATE_PART * late_chance(first_event_us, target_us)
        + (1.0 - LATE_PART) * late_chance(first_event_us + answer_us, deadline_us)
        + if first_event_us > HOPELESS_FACTOR * deadline_us {
            HOPELESS_PRICE
        } else {
            0.0
        }
}

/// Returns what a request takes of an engine's memory.
fn memory_demand(request: &RouteRequest<'_>) -> MemoryDemand {
    let (own, shared) = request
        .parts
        .split_last()
        .map_or((0, &[][..]), |(own, shared)| (own.tokens, shared));
    MemoryDemand {
        shared_id: shared.last().map_or(0, |part| part.id),
        shared_tokens: shared.iter().map(|part| part.tokens).sum(),
        own_tokens: own.saturating_add(request.output_tokens_max),
    }
}

/// Returns the expected time from the first to the last event of a new stream.
fn answer_us(request: &RouteRequest<'_>, cohort: &Cohort, work: &Work, slowdown: f64) -> f64 {
    let running = work.all_running() + 1.0;
    let prefill_us = cohort.steps.prefill_max_us(running) * work.prefill_share.min(1.0);
    let gap_us = cohort.steps.gap_us(running, 0.0) + prefill_us;
    cohort.expected_events(request.output_tokens_max) * gap_us * slowdown
}

/// Returns the chance that a new stream meets a gap above its target, by the prefill that its engine
/// had to do in the last seconds.
fn late_gap(request: &RouteRequest<'_>, cohort: &Cohort, work: &Work, slowdown: f64) -> f64 {
    if request.aims.event_gap_us == 0 {
        return 0.0;
    }
    let target_us = to_f64(request.aims.event_gap_us);
    let (running, token_us) = (work.all_running() + 1.0, cohort.token_us());
    let idle_us = cohort.steps.gap_us(running, 0.0) * slowdown;
    let prefill_us = work.prompt_tokens * token_us;
    let beside_prefill_us = cohort.steps.gap_us(running, prefill_us) * slowdown;
    let events = cohort.expected_events(request.output_tokens_max);
    let met = events * work.prefill_share.min(1.0);
    let on_time = (1.0 - late_chance(idle_us, target_us))
        * (1.0 - (met * late_chance(beside_prefill_us, target_us)).min(1.0));
    1.0 - on_time
}

/// Returns the expected number of running streams for which a new prompt causes a gap above their
/// target.
fn delayed_streams(cohort: &Cohort, work: &Work, prefill_us: f64, slowdown: f64) -> f64 {
    let running = work.all_running();
    let gap_us = cohort.steps.gap_us(running, prefill_us) * slowdown;
    let idle_us = cohort.steps.gap_us(running, 0.0) * slowdown;
    let gaps = (prefill_us / cohort.steps.prefill_max_us(running).max(1.0)).max(1.0);
    let streams = work.running.iter().zip(GAP_CLASS_TARGETS_US);
    let late = streams.map(|(count, target_us)| {
        let more = late_chance(gap_us, target_us) - late_chance(idle_us, target_us);
        count * (gaps * more).clamp(0.0, 1.0)
    });
    late.sum()
}

/// Returns how many of a region's engines are reserved for a share above 0: at least one, unless it
/// is the only one.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "far fewer than 2^52 engines"
)]
fn reserved_count(share: f64, engines: usize) -> usize {
    if share <= 0.0 || engines < 2 {
        return 0;
    }
    ((share * engines as f64).round() as usize).clamp(1, engines - 1)
}

#[expect(clippy::cast_precision_loss, reason = "intervals are far below 2^52")]
const fn to_f64(value_us: u64) -> f64 {
    value_us as f64
}
