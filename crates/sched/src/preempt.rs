//! Preemption of lower tiers and demotion of long jobs.

use std::{cmp::Reverse, collections::BTreeSet};

use queue::{ItemKind, TIERS};
use route::AttemptOutcome;

use crate::{
    Action, Dispatcher, JobId, Reason,
    admission::turn_of,
    group::{Group, LONG_PERCENT, VictimKey},
    turn::Turn,
};

/// Candidates that one search looks at; each may run on an upstream that is of no use.
const CANDIDATES_MAX: usize = 64;

/// Tier that takes reserved slots before one of its jobs is refused.
///
/// If an overloaded tier 1 could take them too, tier 2 would start but never finish, since a job of
/// tier 1 is always close to its refusal then.
const TAKES_RESERVED: usize = 0;

/// Time before its deadline at which a job may take a reserved slot; two ticks of the daemon, so
/// that the slot is there in time.
pub(crate) const URGENT_US: u64 = 20_000;

/// Pause after a preemption that made no room, as when the pool has ejected the upstream.
const VAIN_PAUSE_US: u64 = 1_000_000;

impl Dispatcher {
    /// Cancels a job of a lower tier, or a long one of the same tier, for a job that found no room.
    pub(crate) fn make_room(
        &mut self,
        now_us: u64,
        turn: Turn,
        actions: &mut Vec<Action>,
    ) -> Option<JobId> {
        if let Some(victim) = self.victim(now_us, turn, |group| &group.victims) {
            let reason = Reason::HigherTier { by: turn.id };
            self.preempt(now_us, victim, reason, actions);
            return Some(victim);
        }
        let victim = self.long_victim(now_us, turn)?;
        let reason = Reason::LongAnswer { by: turn.id };
        self.preempt(now_us, victim, reason, actions);
        Some(victim)
    }

    /// Cancels jobs of the lowest tier on an upstream until no more run there than its share.
    ///
    /// A smaller share means that work of a higher tier waits at another daemon. Jobs of other tiers
    /// run to their end: the share may have gone to work of their own tier.
    pub(crate) fn give_back(&mut self, now_us: u64, upstream: &str, actions: &mut Vec<Action>) {
        let Some(member) = self.topology.member(upstream) else {
            return;
        };
        let (room, group) = (member.room(), member.group);
        let over = self.pool.outstanding(upstream).saturating_sub(room);
        let lowest = u8::try_from(TIERS - 1).unwrap_or(u8::MAX);
        let keys = self.topology.groups[group].victims.iter();
        let lowest = keys.take_while(|(Reverse(tier), ..)| *tier == lowest);
        let ids = lowest.map(|&(_, _, Reverse(id))| JobId(id));
        let here = ids.filter(|&id| {
            self.running(id)
                .is_some_and(|(_, running)| *running.upstream == *upstream)
        });
        let victims: Vec<JobId> = here.take(over as usize).collect();
        for id in victims {
            self.preempt(now_us, id, Reason::ShareWithdrawn, actions);
        }
    }

    /// Starts a job that would otherwise be refused in place of one on a reserved slot.
    pub(crate) fn start_in_place(
        &mut self,
        now_us: u64,
        turn: Turn,
        actions: &mut Vec<Action>,
    ) -> bool {
        if turn.tier != TAKES_RESERVED {
            return false;
        }
        let Some(victim) = self.victim(now_us, turn, |group| &group.reserved) else {
            return false;
        };
        let reason = Reason::HigherTier { by: turn.id };
        self.preempt(now_us, victim, reason, actions);
        let started = self.start(now_us, turn, Some(victim), actions);
        let group = self.topology.lanes[turn.lane].group;
        if !started {
            self.note_vain(now_us, group);
        }
        // The cancelled job may find room on an upstream that was of no use to the other.
        self.dispatch(now_us, group, actions);
        started
    }

    /// Returns a job close to its deadline that goes before a reserved start in its group.
    pub(crate) fn urgent(&self, now_us: u64, group: usize) -> Option<Turn> {
        let due = self.queue.due(now_us.saturating_add(URGENT_US));
        let mut items = due.filter_map(|(_, id)| Some(&self.jobs.get(&JobId(id))?.item));
        let item = items.find(|item| {
            let lane = &self.topology.lanes[item.lane];
            let tier = usize::from(item.tier);
            let open = lane.full[tier] & item.kind.bit() == 0;
            tier == TAKES_RESERVED && lane.group == group && open
        });
        item.map(turn_of)
    }

    pub(crate) fn note_vain(&mut self, now_us: u64, group: usize) {
        self.topology.groups[group].vain_until_us = now_us + VAIN_PAUSE_US;
    }

    /// Returns whether a job that finds no room could get some through preemption.
    pub(crate) fn may_make_room(&self, id: JobId) -> bool {
        let Some(entry) = self.jobs.get(&id) else {
            return false;
        };
        let group = &self.topology.groups[self.topology.lanes[entry.item.lane].group];
        let lowest = group.victims.first();
        lowest.is_some_and(|(tier, ..)| tier.0 > entry.item.tier)
            || (entry.item.kind != ItemKind::Long
                && !group.has_room_for_long()
                && !group.long.is_empty())
    }

    fn victim<'a, F>(&'a self, now_us: u64, turn: Turn, set: F) -> Option<JobId>
    where
        F: FnOnce(&'a Group) -> &'a BTreeSet<VictimKey>,
    {
        let group = &self.topology.groups[self.topology.lanes[turn.lane].group];
        if now_us < group.vain_until_us {
            return None;
        }
        let keys = set(group).iter().take(CANDIDATES_MAX);
        let lower = keys.take_while(|(Reverse(tier), ..)| usize::from(*tier) > turn.tier);
        let mut ids = lower.map(|&(_, _, Reverse(id))| JobId(id));
        ids.find(|&id| self.is_useful(id, turn))
    }

    fn long_victim(&self, now_us: u64, turn: Turn) -> Option<JobId> {
        let group = &self.topology.groups[self.topology.lanes[turn.lane].group];
        let entry = self.jobs.get(&turn.id)?;
        let blocked = entry.item.kind != ItemKind::Long && now_us >= group.vain_until_us;
        if !blocked || group.has_room_for_long() {
            return None;
        }
        let tier = entry.item.tier;
        let keys = group.long.range((tier, 0, 0)..(tier, u32::MAX, u64::MAX));
        let mut ids = keys.rev().take(CANDIDATES_MAX).map(|key| JobId(key.2));
        ids.find(|&id| {
            let Some((entry, running)) = self.running(id) else {
                return false;
            };
            let over = self
                .topology
                .member(&running.upstream)
                .is_some_and(|member| member.long * 100 > (member.slots * LONG_PERCENT).max(100));
            over && running.tokens > 0
                && entry.tokens >= entry.demote_tokens
                && self.is_useful(id, turn)
        })
    }

    /// Returns whether the slot of a running job would be of use to the job whose turn it is.
    fn is_useful(&self, id: JobId, turn: Turn) -> bool {
        let Some((_, running)) = self.running(id) else {
            return false;
        };
        let Some(member) = self.topology.member(&running.upstream) else {
            return false;
        };
        let begun = self
            .jobs
            .get(&turn.id)
            .is_some_and(|entry| entry.tokens > 0);
        member.lanes.contains(&turn.lane)
            && (member.resume || !begun)
            && self.pool.outstanding(&member.name) <= member.room()
    }

    /// Cancels a running attempt and queues its job again at its place.
    fn preempt(&mut self, now_us: u64, id: JobId, reason: Reason, actions: &mut Vec<Action>) {
        let Some(running) = self.end_attempt(now_us, id, AttemptOutcome::Cancelled) else {
            return;
        };
        let Some(entry) = self.jobs.get_mut(&id) else {
            return;
        };
        entry.note_run();
        if matches!(reason, Reason::LongAnswer { .. }) {
            entry.demote_tokens = entry.tokens.saturating_mul(2);
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
