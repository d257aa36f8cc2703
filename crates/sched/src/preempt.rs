//! Preemption of jobs of lower tiers and of long jobs.

use std::{cmp::Reverse, collections::BTreeSet};

use queue::{ItemKind, TIERS};
use route::AttemptOutcome;

use crate::{
    Action, Dispatcher, JobId, Reason,
    admission::candidate_of,
    candidate::Candidate,
    group::{Group, LONG_PERCENT, VictimKey},
};

/// Maximum number of victims that one search examines; each may run on an upstream that the waiting
/// job can't use.
const VICTIMS_EXAMINED_MAX: usize = 64;

/// Only tier whose jobs preempt jobs on reserved slots when they would otherwise be refused.
///
/// If an overloaded tier 1 did so too, jobs of tier 2 would start but never finish, since under
/// overload some job of tier 1 is always about to be refused.
const PREEMPTS_RESERVED_TIER: usize = 0;

/// Time before its deadline from which a job may preempt a job on a reserved slot.
///
/// Two ticks of the daemon, so that the slot is free in time.
pub(crate) const URGENT_MARGIN_US: u64 = 20_000;

/// Pause of preemption in a group after one that freed no usable slot, for example because the pool
/// has ejected the upstream.
const PREEMPTION_PAUSE_US: u64 = 1_000_000;

impl Dispatcher {
    /// Preempts a job of a lower tier, or else a long one of the same tier, for a job that found no
    /// slot; returns the preempted job.
    pub(crate) fn preempt_for(
        &mut self,
        now_us: u64,
        candidate: Candidate,
        actions: &mut Vec<Action>,
    ) -> Option<JobId> {
        if let Some(victim) = self.find_victim(now_us, candidate, |group| &group.victims) {
            let reason = Reason::HigherTier { by: candidate.id };
            self.preempt(now_us, victim, reason, actions);
            return Some(victim);
        }
        let victim = self.find_long_victim(now_us, candidate)?;
        let reason = Reason::LongAnswer { by: candidate.id };
        self.preempt(now_us, victim, reason, actions);
        Some(victim)
    }

    /// Preempts jobs of the lowest tier on an upstream until this daemon is within its share.
    ///
    /// A smaller share means that jobs of a higher tier wait at another daemon. Jobs of other tiers
    /// run to completion, since the share may have been granted to jobs of their own tier.
    pub(crate) fn preempt_above_share(
        &mut self,
        now_us: u64,
        upstream: &str,
        actions: &mut Vec<Action>,
    ) {
        let Some(member) = self.topology.member(upstream) else {
            return;
        };
        let (capacity, group) = (member.capacity(), member.group);
        let excess = self.pool.outstanding(upstream).saturating_sub(capacity);
        let lowest_tier = u8::try_from(TIERS - 1).unwrap_or(u8::MAX);
        let keys = self.topology.groups[group].victims.iter();
        let in_lowest_tier = keys.take_while(|(Reverse(tier), ..)| *tier == lowest_tier);
        let ids = in_lowest_tier.map(|&(_, _, Reverse(id))| JobId(id));
        let on_upstream = ids.filter(|&id| {
            self.running(id)
                .is_some_and(|(_, running)| *running.upstream == *upstream)
        });
        let victims: Vec<JobId> = on_upstream.take(excess as usize).collect();
        for id in victims {
            self.preempt(now_us, id, Reason::ShareWithdrawn, actions);
        }
    }

    /// Starts a job that would otherwise be refused by preempting one on a reserved slot; returns
    /// whether it started.
    pub(crate) fn start_by_preempting_reserved(
        &mut self,
        now_us: u64,
        candidate: Candidate,
        actions: &mut Vec<Action>,
    ) -> bool {
        if candidate.tier != PREEMPTS_RESERVED_TIER {
            return false;
        }
        let Some(victim) = self.find_victim(now_us, candidate, |group| &group.reserved_victims)
        else {
            return false;
        };
        let reason = Reason::HigherTier { by: candidate.id };
        self.preempt(now_us, victim, reason, actions);
        let started = self.start(now_us, candidate, Some(victim), actions);
        let group = self.topology.lanes[candidate.lane].group;
        if !started {
            self.pause_preemption(now_us, group);
        }
        // The preempted job may find a slot on an upstream that the started one can't use.
        self.dispatch(now_us, group, actions);
        started
    }

    /// Returns a job close to its deadline that takes precedence over a reserved start.
    pub(crate) fn urgent_candidate(&self, now_us: u64, group: usize) -> Option<Candidate> {
        let due = self.queue.due(now_us.saturating_add(URGENT_MARGIN_US));
        let mut items = due.filter_map(|(_, id)| Some(&self.jobs.get(&JobId(id))?.item));
        let item = items.find(|item| {
            let lane = &self.topology.lanes[item.lane];
            let tier = usize::from(item.tier);
            let not_full = lane.full[tier] & item.kind.bit() == 0;
            tier == PREEMPTS_RESERVED_TIER && lane.group == group && not_full
        });
        item.map(candidate_of)
    }

    /// Pauses preemption in a group after one that freed no usable slot.
    pub(crate) fn pause_preemption(&mut self, now_us: u64, group: usize) {
        self.topology.groups[group].preemption_paused_until_us = now_us + PREEMPTION_PAUSE_US;
    }

    /// Returns whether a job that finds no slot might get one through preemption.
    pub(crate) fn can_preempt(&self, id: JobId) -> bool {
        let Some(entry) = self.jobs.get(&id) else {
            return false;
        };
        let group = &self.topology.groups[self.topology.lanes[entry.item.lane].group];
        let lowest = group.victims.first();
        lowest.is_some_and(|(tier, ..)| tier.0 > entry.item.tier)
            || (entry.item.kind != ItemKind::Long
                && !group.has_room_for_long()
                && !group.long_preemptable.is_empty())
    }

    /// Returns the first job of a lower tier in a set of the candidate's group whose slot the
    /// candidate can use.
    fn find_victim<'a, F>(&'a self, now_us: u64, candidate: Candidate, set: F) -> Option<JobId>
    where
        F: FnOnce(&'a Group) -> &'a BTreeSet<VictimKey>,
    {
        let group = &self.topology.groups[self.topology.lanes[candidate.lane].group];
        if now_us < group.preemption_paused_until_us {
            return None;
        }
        let keys = set(group).iter().take(VICTIMS_EXAMINED_MAX);
        let lower = keys.take_while(|(Reverse(tier), ..)| usize::from(*tier) > candidate.tier);
        let mut ids = lower.map(|&(_, _, Reverse(id))| JobId(id));
        ids.find(|&id| self.frees_usable_slot(id, candidate))
    }

    /// Returns the job of the candidate's tier to preempt for it: the longest one that has output
    /// at least the tokens required before its next preemption, on an upstream that runs more long
    /// jobs than its limit. `None` if the candidate itself is long, or while the group may run
    /// more long jobs.
    fn find_long_victim(&self, now_us: u64, candidate: Candidate) -> Option<JobId> {
        let group = &self.topology.groups[self.topology.lanes[candidate.lane].group];
        let entry = self.jobs.get(&candidate.id)?;
        let may_preempt =
            entry.item.kind != ItemKind::Long && now_us >= group.preemption_paused_until_us;
        if !may_preempt || group.has_room_for_long() {
            return None;
        }
        let tier = entry.item.tier;
        let keys = group
            .long_preemptable
            .range((tier, 0, 0)..(tier, u32::MAX, u64::MAX));
        let mut ids = keys
            .rev()
            .take(VICTIMS_EXAMINED_MAX)
            .map(|key| JobId(key.2));
        ids.find(|&id| {
            let Some((entry, running)) = self.running(id) else {
                return false;
            };
            let over_limit = self
                .topology
                .member(&running.upstream)
                .is_some_and(|member| {
                    let slots = u64::from(member.slots);
                    u64::from(member.long_running) * 100
                        > (slots * u64::from(LONG_PERCENT)).max(100)
                });
            over_limit
                && running.tokens > 0
                && entry.tokens >= entry.preemptable_from_tokens
                && self.frees_usable_slot(id, candidate)
        })
    }

    /// Returns whether the candidate could start on the slot of a running job.
    fn frees_usable_slot(&self, id: JobId, candidate: Candidate) -> bool {
        let Some((_, running)) = self.running(id) else {
            return false;
        };
        let Some(member) = self.topology.member(&running.upstream) else {
            return false;
        };
        let resumes = self
            .jobs
            .get(&candidate.id)
            .is_some_and(|entry| entry.tokens > 0);
        member.lanes.contains(&candidate.lane)
            && (member.can_resume || !resumes)
            && self.pool.outstanding(&member.name) <= member.capacity()
    }

    /// Cancels a running attempt and queues its job again.
    fn preempt(&mut self, now_us: u64, id: JobId, reason: Reason, actions: &mut Vec<Action>) {
        let Some(running) = self.end_attempt(now_us, id, AttemptOutcome::Cancelled) else {
            return;
        };
        let Some(entry) = self.jobs.get_mut(&id) else {
            return;
        };
        entry.record_possible_run();
        if matches!(reason, Reason::LongAnswer { .. }) {
            entry.preemptable_from_tokens = entry.tokens.saturating_mul(2);
        }
        actions.push(Action::Cancel {
            id,
            upstream: running.upstream,
            attempt: entry.attempt,
            reason,
        });
        if running.reserved {
            let group = self.topology.lanes[entry.item.lane].group;
            self.topology.groups[group].reserve.refund(entry.tier());
        }
        self.requeue(now_us, id);
    }
}
