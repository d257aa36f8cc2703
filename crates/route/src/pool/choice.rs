use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Pool, judgement::PROBE_US};
use crate::{
    Pick, RouteRequest,
    group::{DISTANCES, Group},
    link_budget::LinkBudget,
    pending::Pending,
};

/// Extra round trip by distance: none inside the availability zone, 1.5 ms one way between zones,
/// 30 ms one way between regions.
const ROUND_TRIP_US: [f64; DISTANCES] = [0.0, 3_000.0, 60_000.0];

/// Tokens whose gaps count in the expected duration, next to the first token.
const GAPS: f64 = 16.0;

/// Choices of a group between two probes, so that few ejected upstreams in a small pool don't turn
/// every other job into a probe.
const PROBE_EVERY: u32 = 16;

/// Most prompt tokens that a cached prefix is assumed to save.
const PREFIX_TOKENS_MAX: u32 = 2_048;

/// Chance that an upstream that served a prefix lately still holds it.
const CHANCE_SERVED: f64 = 0.8;

/// Chance that the upstream to which the hash points holds a prefix that this daemon hasn't sent.
const CHANCE_GUESSED: f64 = 0.25;

/// Candidate with its expected time.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    member: u32,
    cost_us: f64,
}

impl Pool {
    /// Chooses an upstream with a free slot and takes the slot.
    ///
    /// Returns `None` if every upstream is full, or the only ones with room lie in another region
    /// and the link budget doesn't allow the body now.
    pub fn choose(&mut self, now_us: u64, need: &RouteRequest<'_>) -> Option<Pick> {
        let now_us = self.advance(now_us);
        self.refresh_if_due(now_us);
        self.link.advance(now_us);
        let group = self.group(need.target)?;
        if let Some(index) = self.due_probe(now_us, group, need) {
            self.groups[group].since_probe = 0;
            self.members[index].probe_due_us = now_us.saturating_add(PROBE_US);
            return Some(self.take(now_us, index, need));
        }
        if !need.parts.is_empty() {
            let index = self.best_engine(now_us, group, need)?;
            let since_probe = &mut self.groups[group].since_probe;
            *since_probe = since_probe.saturating_add(1);
            return Some(self.take(now_us, index, need));
        }
        let avoided = need.avoid.and_then(|name| self.hide(group, name));
        let best = self.best(now_us, group, need);
        if let Some(index) = avoided {
            self.rekey(now_us, index);
        }
        let best = best
            .map(|best| best.member as usize)
            .or_else(|| self.least_slow(group, need))
            .or_else(|| {
                avoided?;
                let best = self.best(now_us, group, need)?;
                Some(best.member as usize)
            })?;
        let since_probe = &mut self.groups[group].since_probe;
        *since_probe = since_probe.saturating_add(1);
        Some(self.take(now_us, best, need))
    }

    fn best(&self, now_us: u64, group: usize, need: &RouteRequest<'_>) -> Option<Candidate> {
        let near = self.nearest(group, need, 0..DISTANCES - 1);
        let large = LinkBudget::is_large(need.body_bytes);
        let near_works =
            near.is_some_and(|near| !self.members[near.member as usize].is_failing(now_us));
        let far = !(large && near_works) && self.link.allows(need.tier, need.body_bytes);
        let far = far.then(|| self.nearest(group, need, DISTANCES - 1..DISTANCES));
        let best = cheaper(near, far.flatten())?;
        let cached = self.cached(now_us, group, need, far.is_some());
        cheaper(cached, Some(best))
    }

    /// Returns the cheapest member within a range of distances.
    fn nearest(
        &self,
        group: usize,
        need: &RouteRequest<'_>,
        distances: std::ops::Range<usize>,
    ) -> Option<Candidate> {
        let mut best = None;
        for distance in distances {
            for resumes in [true, false] {
                if need.resume && !resumes {
                    continue;
                }
                let lane = usize::from(Group::lane_of(distance, resumes));
                let found = self.groups[group].lanes[lane].best();
                let found = found.map(|(member, key)| Candidate {
                    member,
                    cost_us: self.cost_us(need, member, key, distance),
                });
                best = cheaper(best, found);
            }
        }
        best
    }

    /// Returns the cheapest member that may hold the prompt's prefix, its saving subtracted.
    fn cached(
        &self,
        now_us: u64,
        group: usize,
        need: &RouteRequest<'_>,
        far: bool,
    ) -> Option<Candidate> {
        if need.prefix_hash == 0 {
            return None;
        }
        let mut best = None;
        let mut known = false;
        for id in self.prefixes.find(now_us, need.prefix_hash) {
            known = true;
            if let Some(index) = self.index_of_id(id) {
                best = cheaper(best, self.saving(group, need, index, far, CHANCE_SERVED));
            }
        }
        if !known {
            let guess = self.groups[group].successor(need.prefix_hash)? as usize;
            best = self.saving(group, need, guess, far, CHANCE_GUESSED);
        }
        best
    }

    fn saving(
        &self,
        group: usize,
        need: &RouteRequest<'_>,
        index: usize,
        far: bool,
        chance: f64,
    ) -> Option<Candidate> {
        let member = &self.members[index];
        let seats = &mut member.seats.iter();
        let seat = seats.find(|seat| seat.group as usize == group)?;
        let distance = usize::from(seat.lane) / 2;
        if distance == DISTANCES - 1 && !far || need.resume && !member.settings.honours.resume {
            return None;
        }
        let key = self.groups[group].lanes[usize::from(seat.lane)].key(seat.position);
        if !key.is_finite() {
            return None;
        }
        let tokens = f64::from(need.prompt_tokens.min(PREFIX_TOKENS_MAX));
        let cohort = &self.cohorts[member.cohort as usize];
        let saving_us = cohort.first_token.slope() * tokens * chance;
        let member = u32::try_from(index).ok()?;
        let cost_us = self.cost_us(need, member, key, distance) - saving_us;
        Some(Candidate { member, cost_us })
    }

    fn cost_us(&self, need: &RouteRequest<'_>, member: u32, key: f64, distance: usize) -> f64 {
        let cohort = &self.cohorts[self.members[member as usize].cohort as usize];
        let first_token_us = cohort.first_token.predict(f64::from(need.prompt_tokens));
        let unit_us = first_token_us + GAPS * cohort.gap.predict(8.0);
        let transfer_us = if distance == DISTANCES - 1 {
            self.link.transfer_us(need.body_bytes)
        } else {
            0.0
        };
        key * unit_us + ROUND_TRIP_US[distance] + transfer_us
    }

    /// Takes an upstream out of a group for one choice; returns its index if it had room.
    fn hide(&mut self, group: usize, name: &str) -> Option<usize> {
        let index = self.index(name)?;
        let seats = &mut self.members[index].seats.iter();
        let seat = seats.find(|seat| seat.group as usize == group)?;
        let lane = &mut self.groups[group].lanes[usize::from(seat.lane)];
        let had_room = lane.key(seat.position).is_finite();
        lane.set(seat.position, f64::INFINITY);
        had_room.then_some(index)
    }

    /// Returns an ejected upstream that this job should probe.
    ///
    /// The top tier probes only when nothing else did for a while.
    fn due_probe(&self, now_us: u64, group: usize, need: &RouteRequest<'_>) -> Option<usize> {
        let patience = if need.tier == 0 { 4 } else { 1 };
        if self.ejected.is_empty() || self.groups[group].since_probe < PROBE_EVERY * patience {
            return None;
        }
        let mut ejected = self.usable_ejected(group, need);
        ejected.find(|&index| {
            let member = &self.members[index];
            member.probe_due_us <= now_us && member.pending.is_empty() && member.has_room()
        })
    }

    /// Returns the ejected upstream to use while all others are full.
    ///
    /// It gets no more jobs than its slow-down leaves of its capacity, so that stragglers aren't idle
    /// while jobs queue, and no job waits behind many others on a straggler.
    fn least_slow(&self, group: usize, need: &RouteRequest<'_>) -> Option<usize> {
        let ejected = self.usable_ejected(group, need);
        let open = ejected.filter(|&index| self.members[index].has_slow_room());
        open.min_by_key(|&index| self.members[index].outstanding)
    }

    /// Returns the members that are ejected because of their speed and could run the job.
    fn usable_ejected(&self, group: usize, need: &RouteRequest<'_>) -> impl Iterator<Item = usize> {
        let ejected = self.ejected.iter().map(|&index| index as usize);
        ejected.filter(move |&index| {
            let member = &self.members[index];
            let seats = &mut member.seats.iter();
            let Some(seat) = seats.find(|seat| seat.group as usize == group) else {
                return false;
            };
            let far = usize::from(seat.lane) / 2 == DISTANCES - 1;
            let large = LinkBudget::is_large(need.body_bytes);
            !member.is_failing(self.now_us)
                && (member.settings.honours.resume || !need.resume)
                && need.avoid != Some(&*member.name)
                && (!far || !large && self.link.allows(need.tier, need.body_bytes))
        })
    }

    fn take(&mut self, now_us: u64, index: usize, need: &RouteRequest<'_>) -> Pick {
        self.picks += 1;
        let work_tokens = if need.parts.is_empty() {
            f64::from(need.prompt_tokens)
        } else {
            self.note_prompt(now_us, index, need)
        };
        let member = &mut self.members[index];
        let cohort = &self.cohorts[member.cohort as usize];
        member.outstanding += 1;
        member.pending.push(Pending {
            sent_us: now_us,
            expected_us: cohort.first_token.predict(work_tokens),
        });
        let bits = xxh3_64_with_seed(&self.picks.to_le_bytes(), self.seed ^ member.id);
        member.jitter = 0.5 + 0.5 * unit(bits);
        if member.settings.region != self.place.region {
            self.link.take(need.tier, need.body_bytes);
        }
        self.prefixes.insert(now_us, need.prefix_hash, member.id);
        let pick = Pick {
            upstream: member.name.clone(),
            honours_priority: member.settings.honours.priority,
            work_tokens: whole(work_tokens),
        };
        self.rekey(now_us, index);
        pick
    }
}

/// Maps random bits to 0..1.
#[expect(clippy::cast_precision_loss, reason = "53 bits fit")]
pub(super) const fn unit(bits: u64) -> f64 {
    (bits >> 11) as f64 / (1_u64 << 53) as f64
}

/// Rounds a sum of tokens.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float that is too large becomes the largest integer"
)]
const fn whole(tokens: f64) -> u32 {
    tokens as u32
}

fn cheaper(a: Option<Candidate>, b: Option<Candidate>) -> Option<Candidate> {
    match (a, b) {
        (Some(a), Some(b)) => Some(if b.cost_us < a.cost_us { b } else { a }),
        (a, b) => a.or(b),
    }
}
