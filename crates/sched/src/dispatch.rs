//! Choice of the next job of a group, and its start on an upstream.

use std::cmp::Reverse;

use code::Code;
use queue::{Head, ItemKind, TIERS};
use route::RouteRequest;

use crate::{
    Action, Dispatcher, JobId, Reason, candidate::Candidate, group::VictimKey, running::Running,
};

impl Dispatcher {
    /// Starts jobs of a group until no queued job finds a slot.
    pub(crate) fn dispatch(&mut self, now_us: u64, group: usize, actions: &mut Vec<Action>) {
        self.fill_slots(now_us, group, actions);
        // The saved state is valid within one event only.
        self.topology.groups[group].freed_slot = None;
    }

    /// Starts, or refuses as expired, one candidate after another until none is left.
    fn fill_slots(&mut self, now_us: u64, group: usize, actions: &mut Vec<Action>) {
        let mut use_reserve = true;
        while let Some(mut candidate) = self.next_candidate(group, use_reserve) {
            if candidate.reserved
                && let Some(urgent) = self.urgent_candidate(now_us, group)
            {
                candidate = urgent;
            }
            if self.refuse_expired(now_us, candidate.id, actions) {
                continue;
            }
            if self.start(now_us, candidate, None, actions) {
                continue;
            }
            if candidate.reserved {
                // The reserved share covers free slots only; go on with regular starts.
                use_reserve = false;
                continue;
            }
            if let Some(preempted) = self.preempt_for(now_us, candidate, actions) {
                if self.start(now_us, candidate, Some(preempted), actions) {
                    continue;
                }
                self.pause_preemption(now_us, group);
            }
            if let Some(entry) = self.jobs.get(&candidate.id) {
                let kind = entry.item.kind;
                self.topology.lanes[candidate.lane].mark_full(candidate.tier, kind);
            }
        }
    }

    /// Starts jobs of all groups.
    pub(crate) fn dispatch_all(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        for group in 0..self.topology.groups.len() {
            self.dispatch(now_us, group, actions);
        }
    }

    /// Starts a job if an upstream has a slot for it; returns whether it did.
    ///
    /// `preempted` is the job that was preempted for it.
    pub(crate) fn start(
        &mut self,
        now_us: u64,
        candidate: Candidate,
        preempted: Option<JobId>,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(entry) = self.jobs.get_mut(&candidate.id) else {
            return false;
        };
        let request = RouteRequest {
            target: &entry.job.target,
            tier: entry.item.tier,
            prompt_tokens: entry.job.prompt_tokens,
            output_tokens: entry.expected_tokens,
            output_tokens_max: entry.job.max_tokens,
            aims: entry.job.aims,
            deadline_us: entry.item.deadline_us,
            body_bytes: entry.job.body_bytes,
            prefix_hash: entry.job.prefix_hash,
            parts: &entry.job.prompt,
            job: entry.job.id.0,
            resume: entry.tokens > 0,
            avoid: entry.avoid.as_deref(),
        };
        let Some(pick) = self.pool.choose(now_us, &request) else {
            return false;
        };
        self.queue.start(&entry.item);
        entry.attempt += 1;
        let reason = match preempted {
            Some(preempted) => Reason::AfterPreemption { preempted },
            None if candidate.reserved => Reason::ReservedShare,
            None => Reason::FreeSlot,
        };
        actions.push(Action::Start {
            id: candidate.id,
            upstream: pick.upstream.clone(),
            attempt: entry.attempt,
            priority: entry.priority(),
            work_tokens: pick.work_tokens,
            fetch_from: pick.fetch_from,
            reason,
        });
        let upstream = pick.upstream.clone();
        entry.running = Some(Running {
            upstream: pick.upstream,
            started_us: now_us,
            last_token_us: now_us,
            tokens: 0,
            events: 0,
            begun_us: None,
            proven: false,
            work_tokens: pick.work_tokens,
            reserved: candidate.reserved,
        });
        if entry.attempt == 1 {
            self.topology.lanes[candidate.lane].budget.start(now_us);
        }
        self.topology.lanes[candidate.lane].record_start(candidate.tier);
        let group = self.topology.lanes[candidate.lane].group;
        let outstanding = self.pool.outstanding(&upstream);
        self.topology
            .restore_full_after_start(group, &upstream, outstanding);
        let waiting = self.waiting_by_tier(group);
        let reserve = &mut self.topology.groups[group].reserve;
        reserve.started(candidate.tier, candidate.reserved, waiting);
        self.add_to_index(candidate.id);
        true
    }

    /// Adds a running job to the sets of its group from which victims of preemption are chosen.
    pub(crate) fn add_to_index(&mut self, id: JobId) {
        let Some((entry, running)) = self.running(id) else {
            return;
        };
        let (key, reserved, long) = (
            victim_key(id, entry.item.tier, entry.progress_level()),
            running.reserved,
            entry.is_long(),
        );
        let long_key = (entry.item.tier, entry.progress_level(), id.0);
        let lane = &self.topology.lanes[entry.item.lane];
        let resumable = lane.resumable;
        let preemptable = entry.job.is_preemptable() && (entry.tokens == 0 || resumable);
        let group = lane.group;
        let upstream = running.upstream.clone();
        let group = &mut self.topology.groups[group];
        if preemptable && reserved {
            group.reserved_victims.insert(key);
        } else if preemptable {
            group.victims.insert(key);
        }
        if long {
            group.long_count += 1;
            if preemptable {
                group.long_preemptable.insert(long_key);
            }
            if let Some(member) = self.topology.member_mut(&upstream) {
                member.long_running += 1;
            }
        }
    }

    /// Removes a running job from the sets of its group.
    pub(crate) fn remove_from_index(&mut self, id: JobId) {
        let Some((entry, running)) = self.running(id) else {
            return;
        };
        let key = victim_key(id, entry.item.tier, entry.progress_level());
        let long_key = (entry.item.tier, entry.progress_level(), id.0);
        let long = entry.is_long();
        let group = self.topology.lanes[entry.item.lane].group;
        let upstream = running.upstream.clone();
        let group = &mut self.topology.groups[group];
        group.reserved_victims.remove(&key);
        group.victims.remove(&key);
        group.long_preemptable.remove(&long_key);
        if long {
            group.long_count = group.long_count.saturating_sub(1);
            if let Some(member) = self.topology.member_mut(&upstream) {
                member.long_running = member.long_running.saturating_sub(1);
            }
        }
    }

    /// Refuses a job whose deadline has passed; returns whether it did.
    pub(crate) fn refuse_expired(
        &mut self,
        now_us: u64,
        id: JobId,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(entry) = self.jobs.get(&id) else {
            return false;
        };
        if entry.item.deadline_us >= now_us {
            return false;
        }
        let retry_after_ms = self.retry_after_ms(now_us, &entry.item);
        self.refuse(
            id,
            Code::DeadlinePassed,
            retry_after_ms,
            Reason::DeadlinePassed,
            actions,
        );
        true
    }

    /// Returns the job of a group that starts next; `use_reserve` allows starts on reserved shares.
    fn next_candidate(&self, group: usize, use_reserve: bool) -> Option<Candidate> {
        let state = &self.topology.groups[group];
        let due = state.reserve.service_order().into_iter().filter(|&tier| {
            // This applies even if no higher tier waits, since a job of a higher tier that arrives
            // next could preempt a regular start.
            use_reserve && state.reserve.is_due(tier, state.slots)
        });
        let mut due = due.filter_map(|tier| self.tier_head(group, tier));
        if let Some(candidate) = due.next() {
            return Some(Candidate {
                reserved: true,
                ..candidate
            });
        }
        (0..TIERS).find_map(|tier| self.tier_head(group, tier))
    }

    /// Returns the oldest of the next jobs of a tier over all lanes of the group that aren't full.
    fn tier_head(&self, group: usize, tier: usize) -> Option<Candidate> {
        let state = &self.topology.groups[group];
        let heads = state.lanes.iter().filter_map(|&lane| {
            let head = self.lane_head(lane, tier, state.has_room_for_long())?;
            Some((head, lane))
        });
        let (head, lane) = heads.min_by_key(|(head, _)| head.arrival)?;
        Some(Candidate {
            id: JobId(head.id),
            lane,
            tier,
            reserved: false,
        })
    }

    /// Returns the next job of a lane and tier; without room for long jobs, short ones go first.
    pub(crate) fn lane_head(&self, lane: usize, tier: usize, room_for_long: bool) -> Option<Head> {
        if self.queue.waiting(lane, tier) == 0 {
            return None;
        }
        let kinds = !self.topology.lanes[lane].full[tier] & ItemKind::ALL;
        if kinds == 0 {
            return None;
        }
        if room_for_long {
            return self.queue.head(lane, tier, kinds);
        }
        let short = self.queue.head(lane, tier, kinds & ItemKind::SHORT);
        short.or_else(|| self.queue.head(lane, tier, kinds))
    }

    /// Returns whether jobs of the group wait, by tier.
    fn waiting_by_tier(&self, group: usize) -> [bool; TIERS] {
        let lanes = &self.topology.groups[group].lanes;
        std::array::from_fn(|tier| lanes.iter().any(|&lane| self.queue.waiting(lane, tier) > 0))
    }
}

const fn victim_key(id: JobId, tier: u8, level: u32) -> VictimKey {
    (Reverse(tier), level, Reverse(id.0))
}
