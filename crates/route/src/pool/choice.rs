//! Selection of an upstream by load, distance and cached prefix.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Pool, outlier_detection::PROBE_INTERVAL_US, placement::StartedPrompt};
use crate::{
    Pick, RouteRequest,
    group::{DISTANCES, Group},
    link_budget::LinkBudget,
    pending::Pending,
    reuse::Supply,
};

/// Additional round trip by distance: none inside the availability zone, 1.5 ms one way between
/// zones, 30 ms one way between regions.
const ROUND_TRIP_US: [f64; DISTANCES] = [0.0, 3_000.0, 60_000.0];

/// Tokens after the first whose time counts in the expected duration.
const COUNTED_GAPS: f64 = 16.0;

/// Selections in a group between two probes. Without it, a few ejected upstreams in a small pool
/// would turn every other job into a probe.
const PROBE_INTERVAL_CHOICES: u32 = 16;

/// Largest number of prompt tokens that a cached prefix is assumed to save.
const PREFIX_TOKENS_MAX: u32 = 2_048;

/// Probability that an upstream that recently served a prefix still has it cached.
const HIT_CHANCE_SERVED: f64 = 0.8;

/// Probability that the upstream at the prefix's position on the hash ring has it cached although
/// this daemon hasn't sent it.
const HIT_CHANCE_HASHED: f64 = 0.25;

/// Candidate with its expected cost.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    member: u32,
    cost_us: f64,
}

impl Pool {
    /// Selects an upstream with a free slot and takes the slot.
    ///
    /// Returns `None` if every upstream is full, or if only upstreams in other regions have a free
    /// slot and the link budget doesn't allow the body now.
    pub fn choose(&mut self, now_us: u64, request: &RouteRequest<'_>) -> Option<Pick> {
        let now_us = self.advance(now_us);
        self.refresh_if_due(now_us);
        self.link_budget.advance(now_us);
        let group = self.group(request.target)?;
        if let Some(index) = self.due_probe(now_us, group, request) {
            self.groups[group].choices_since_probe = 0;
            self.members[index].probe_due_us = now_us.saturating_add(PROBE_INTERVAL_US);
            return Some(self.assign(now_us, index, request));
        }
        if !request.parts.is_empty() {
            let index = self.best_engine(now_us, group, request)?;
            let choices_since_probe = &mut self.groups[group].choices_since_probe;
            *choices_since_probe = choices_since_probe.saturating_add(1);
            return Some(self.assign(now_us, index, request));
        }
        let avoided = request.avoid.and_then(|name| self.exclude(group, name));
        let best = self.best(now_us, group, request);
        if let Some(index) = avoided {
            self.update_key(now_us, index);
        }
        let best = best
            .map(|best| best.member as usize)
            .or_else(|| self.least_loaded_ejected(group, request))
            .or_else(|| {
                avoided?;
                let best = self.best(now_us, group, request)?;
                Some(best.member as usize)
            })?;
        let choices_since_probe = &mut self.groups[group].choices_since_probe;
        *choices_since_probe = choices_since_probe.saturating_add(1);
        Some(self.assign(now_us, best, request))
    }

    /// Returns the cheapest member, including cached prefixes and other regions where allowed.
    fn best(&self, now_us: u64, group: usize, request: &RouteRequest<'_>) -> Option<Candidate> {
        let near = self.nearest(group, request, 0..DISTANCES - 1);
        let large = LinkBudget::is_large(request.body_bytes);
        let near_healthy =
            near.is_some_and(|near| !self.members[near.member as usize].is_failing(now_us));
        let far =
            !(large && near_healthy) && self.link_budget.allows(request.tier, request.body_bytes);
        let far = far.then(|| self.nearest(group, request, DISTANCES - 1..DISTANCES));
        let best = cheaper(near, far.flatten())?;
        let cached = self.cheapest_cached(now_us, group, request, far.is_some());
        cheaper(cached, Some(best))
    }

    /// Returns the cheapest member within a range of distances.
    fn nearest(
        &self,
        group: usize,
        request: &RouteRequest<'_>,
        distances: std::ops::Range<usize>,
    ) -> Option<Candidate> {
        let mut best = None;
        for distance in distances {
            for resumes in [true, false] {
                if request.resume && !resumes {
                    continue;
                }
                let tree = usize::from(Group::tree_index(distance, resumes));
                let found = self.groups[group].trees[tree].best();
                let found = found.map(|(member, key)| Candidate {
                    member,
                    cost_us: self.cost_us(request, member, key, distance),
                });
                best = cheaper(best, found);
            }
        }
        best
    }

    /// Returns the cheapest member that may have the prompt's prefix cached; its cost is reduced by
    /// the expected saving.
    fn cheapest_cached(
        &self,
        now_us: u64,
        group: usize,
        request: &RouteRequest<'_>,
        far: bool,
    ) -> Option<Candidate> {
        if request.prefix_hash == 0 {
            return None;
        }
        let mut best = None;
        let mut known = false;
        for id in self.prefixes.find(now_us, request.prefix_hash) {
            known = true;
            if let Some(index) = self.index_of_id(id) {
                best = cheaper(
                    best,
                    self.cached_candidate(group, request, index, far, HIT_CHANCE_SERVED),
                );
            }
        }
        if !known {
            let guess = self.groups[group].successor(request.prefix_hash)? as usize;
            best = self.cached_candidate(group, request, guess, far, HIT_CHANCE_HASHED);
        }
        best
    }

    /// Returns a member as a candidate with its cost reduced by the expected saving of a cached
    /// prefix; `None` if it can't be selected.
    fn cached_candidate(
        &self,
        group: usize,
        request: &RouteRequest<'_>,
        index: usize,
        far: bool,
        hit_chance: f64,
    ) -> Option<Candidate> {
        let member = &self.members[index];
        let positions = &mut member.tree_positions.iter();
        let tree_position = positions.find(|position| position.group as usize == group)?;
        let distance = usize::from(tree_position.tree) / 2;
        if distance == DISTANCES - 1 && !far || request.resume && !member.settings.honours.resume {
            return None;
        }
        let key =
            self.groups[group].trees[usize::from(tree_position.tree)].key(tree_position.position);
        if !key.is_finite() {
            return None;
        }
        let tokens = f64::from(request.prompt_tokens.min(PREFIX_TOKENS_MAX));
        let cohort = &self.cohorts[member.cohort as usize];
        let saving_us = cohort.first_token.slope() * tokens * hit_chance;
        let member = u32::try_from(index).ok()?;
        let cost_us = self.cost_us(request, member, key, distance) - saving_us;
        Some(Candidate { member, cost_us })
    }

    /// Returns the expected duration on a member, including the round trip and the transfer.
    fn cost_us(&self, request: &RouteRequest<'_>, member: u32, key: f64, distance: usize) -> f64 {
        let cohort = &self.cohorts[self.members[member as usize].cohort as usize];
        let first_token_us = cohort.first_token.predict(f64::from(request.prompt_tokens));
        let unit_us = first_token_us + COUNTED_GAPS * cohort.gap.predict(8.0);
        let transfer_us = if distance == DISTANCES - 1 {
            self.link_budget.transfer_us(request.body_bytes)
        } else {
            0.0
        };
        key * unit_us + ROUND_TRIP_US[distance] + transfer_us
    }

    /// Excludes an upstream from a group for one selection; returns its index if it could have been
    /// selected.
    fn exclude(&mut self, group: usize, name: &str) -> Option<usize> {
        let index = self.index(name)?;
        let positions = &mut self.members[index].tree_positions.iter();
        let tree_position = positions.find(|position| position.group as usize == group)?;
        let tree = &mut self.groups[group].trees[usize::from(tree_position.tree)];
        let had_room = tree.key(tree_position.position).is_finite();
        tree.set(tree_position.position, f64::INFINITY);
        had_room.then_some(index)
    }

    /// Returns an ejected upstream that this job should probe.
    ///
    /// The top tier probes only if no other job has probed for four times the interval.
    fn due_probe(&self, now_us: u64, group: usize, request: &RouteRequest<'_>) -> Option<usize> {
        let interval_factor = if request.tier == 0 { 4 } else { 1 };
        if self.ejected.is_empty()
            || self.groups[group].choices_since_probe < PROBE_INTERVAL_CHOICES * interval_factor
        {
            return None;
        }
        let mut ejected = self.usable_ejected(group, request);
        ejected.find(|&index| {
            let member = &self.members[index];
            member.probe_due_us <= now_us && member.pending.is_empty() && member.has_room()
        })
    }

    /// Returns the ejected upstream with the fewest jobs, to be used while all others are full.
    ///
    /// Its slots are divided by its slow-down. Stragglers aren't idle while jobs queue, but no job
    /// waits behind many others on a straggler.
    fn least_loaded_ejected(&self, group: usize, request: &RouteRequest<'_>) -> Option<usize> {
        let ejected = self.usable_ejected(group, request);
        let free = ejected.filter(|&index| self.members[index].has_room_when_slow());
        free.min_by_key(|&index| self.members[index].outstanding)
    }

    /// Returns the members that are ejected because of their speed and could run the job.
    fn usable_ejected(
        &self,
        group: usize,
        request: &RouteRequest<'_>,
    ) -> impl Iterator<Item = usize> {
        let ejected = self.ejected.iter().map(|&index| index as usize);
        ejected.filter(move |&index| {
            let member = &self.members[index];
            let positions = &mut member.tree_positions.iter();
            let Some(tree_position) = positions.find(|position| position.group as usize == group)
            else {
                return false;
            };
            let far = usize::from(tree_position.tree) / 2 == DISTANCES - 1;
            let large = LinkBudget::is_large(request.body_bytes);
            !member.is_failing(self.now_us)
                && (member.settings.honours.resume || !request.resume)
                && request.avoid != Some(&*member.name)
                && (!far || !large && self.link_budget.allows(request.tier, request.body_bytes))
        })
    }

    /// Takes a slot on a member and records the attempt.
    fn assign(&mut self, now_us: u64, index: usize, request: &RouteRequest<'_>) -> Pick {
        self.picks += 1;
        let started = if request.parts.is_empty() {
            StartedPrompt {
                work_tokens: f64::from(request.prompt_tokens),
                uncertainty: None,
                supply: Supply::default(),
            }
        } else {
            self.start_prompt(now_us, index, request)
        };
        let work_tokens = started.work_tokens;
        let source = started.supply.source.map(|index| &self.members[index]);
        let fetch_from = source.map(|source| source.settings.address);
        let member = &mut self.members[index];
        let cohort = &self.cohorts[member.cohort as usize];
        member.outstanding += 1;
        member.pending.push(Pending {
            sent_us: now_us,
            expected_us: cohort.first_token.predict(work_tokens),
            uncertainty: started.uncertainty,
        });
        let bits = xxh3_64_with_seed(&self.picks.to_le_bytes(), self.seed ^ member.id);
        member.jitter = 0.5 + 0.5 * unit_interval(bits);
        if member.settings.region != self.locality.region {
            self.link_budget.take(request.tier, request.body_bytes);
        }
        self.prefixes.insert(now_us, request.prefix_hash, member.id);
        let pick = Pick {
            upstream: member.name.clone(),
            honours_priority: member.settings.honours.priority,
            work_tokens: truncate_tokens(work_tokens),
            fetch_from,
        };
        self.update_key(now_us, index);
        pick
    }
}

/// Maps random bits to a number in 0..1.
#[expect(clippy::cast_precision_loss, reason = "53 bits fit")]
pub(super) const fn unit_interval(bits: u64) -> f64 {
    (bits >> 11) as f64 / (1_u64 << 53) as f64
}

/// Truncates a sum of tokens to a whole number.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float that is too large becomes the largest integer"
)]
const fn truncate_tokens(tokens: f64) -> u32 {
    tokens as u32
}

/// Returns the cheaper of two candidates, the first one if they are equal.
fn cheaper(a: Option<Candidate>, b: Option<Candidate>) -> Option<Candidate> {
    match (a, b) {
        (Some(a), Some(b)) => Some(if b.cost_us < a.cost_us { b } else { a }),
        (a, b) => a.or(b),
    }
}
