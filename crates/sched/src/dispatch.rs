//! Choice of the next job and its start.

use std::cmp::Reverse;

use code::Code;
use queue::{Head, ItemKind, TIERS};
use route::RouteRequest;

use crate::{Action, Dispatcher, JobId, Reason, group::VictimKey, running::Running, turn::Turn};

impl Dispatcher {
    /// Starts what fits in a group.
    pub(crate) fn dispatch(&mut self, now_us: u64, group: usize, actions: &mut Vec<Action>) {
        self.fill(now_us, group, actions);
        // What was full before the event is of no use to the next one.
        self.topology.groups[group].freed = None;
    }

    fn fill(&mut self, now_us: u64, group: usize, actions: &mut Vec<Action>) {
        let mut reserve = true;
        while let Some(mut turn) = self.next_turn(group, reserve) {
            if turn.reserved
                && let Some(urgent) = self.urgent(now_us, group)
            {
                turn = urgent;
            }
            if self.refuse_expired(now_us, turn.id, actions) {
                continue;
            }
            if self.start(now_us, turn, None, actions) {
                continue;
            }
            if turn.reserved {
                // The share is a claim on free slots only; go on with the ordinary turns.
                reserve = false;
                continue;
            }
            if let Some(preempted) = self.make_room(now_us, turn, actions) {
                if self.start(now_us, turn, Some(preempted), actions) {
                    continue;
                }
                self.note_vain(now_us, group);
            }
            if let Some(entry) = self.jobs.get(&turn.id) {
                let variant = entry.item.kind;
                self.topology.lanes[turn.lane].mark_full(turn.tier, variant);
            }
        }
    }

    pub(crate) fn dispatch_all(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        for group in 0..self.topology.groups.len() {
            self.dispatch(now_us, group, actions);
        }
    }

    /// Takes a slot for a job if there is one.
    pub(crate) fn start(
        &mut self,
        now_us: u64,
        turn: Turn,
        preempted: Option<JobId>,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(entry) = self.jobs.get_mut(&turn.id) else {
            return false;
        };
        let need = RouteRequest {
            target: &entry.job.target,
            tier: entry.item.tier,
            prompt_tokens: entry.job.prompt_tokens,
            output_tokens: entry.expected_tokens,
            body_bytes: entry.job.body_bytes,
            prefix_hash: entry.job.prefix_hash,
            parts: &entry.job.prompt,
            job: entry.job.id.0,
            resume: entry.tokens > 0,
            avoid: entry.avoid.as_deref(),
        };
        let Some(pick) = self.pool.choose(now_us, &need) else {
            return false;
        };
        self.queue.start(&entry.item);
        entry.attempt += 1;
        let reason = match preempted {
            Some(preempted) => Reason::AfterPreemption { preempted },
            None if turn.reserved => Reason::ReservedShare,
            None => Reason::FreeSlot,
        };
        actions.push(Action::Start {
            id: turn.id,
            upstream: pick.upstream.clone(),
            attempt: entry.attempt,
            priority: entry.priority(),
            work_tokens: pick.work_tokens,
            reason,
        });
        let upstream = pick.upstream.clone();
        entry.running = Some(Running {
            upstream: pick.upstream,
            started_us: now_us,
            last_us: now_us,
            tokens: 0,
            work_tokens: pick.work_tokens,
            reserved: turn.reserved,
        });
        if entry.attempt == 1 {
            self.topology.lanes[turn.lane].budget.start(now_us);
        }
        self.topology.lanes[turn.lane].note_start(turn.tier);
        let group = self.topology.lanes[turn.lane].group;
        let outstanding = self.pool.outstanding(&upstream);
        self.topology.close_taken(group, &upstream, outstanding);
        let waiting = self.waiting_by_tier(group);
        let reserve = &mut self.topology.groups[group].reserve;
        reserve.started(turn.tier, turn.reserved, waiting);
        self.add_to_index(turn.id);
        true
    }

    /// Adds a running job to what may be preempted or demoted.
    pub(crate) fn add_to_index(&mut self, id: JobId) {
        let Some((entry, running)) = self.running(id) else {
            return;
        };
        let (key, reserved, long) = (
            victim_key(id, entry.item.tier, entry.level()),
            running.reserved,
            entry.is_long(),
        );
        let long_key = (entry.item.tier, entry.level(), id.0);
        let lane = &self.topology.lanes[entry.item.lane];
        let resumable = lane.resumable;
        let preemptable = entry.job.is_preemptable() && (entry.tokens == 0 || resumable);
        let group = lane.group;
        let upstream = running.upstream.clone();
        let group = &mut self.topology.groups[group];
        if preemptable && reserved {
            group.reserved.insert(key);
        } else if preemptable {
            group.victims.insert(key);
        }
        if long {
            group.long_held += 1;
            if preemptable {
                group.long.insert(long_key);
            }
            if let Some(member) = self.topology.member_mut(&upstream) {
                member.long += 1;
            }
        }
    }

    /// Removes a running job from what may be preempted or demoted.
    pub(crate) fn remove_from_index(&mut self, id: JobId) {
        let Some((entry, running)) = self.running(id) else {
            return;
        };
        let key = victim_key(id, entry.item.tier, entry.level());
        let long_key = (entry.item.tier, entry.level(), id.0);
        let long = entry.is_long();
        let group = self.topology.lanes[entry.item.lane].group;
        let upstream = running.upstream.clone();
        let group = &mut self.topology.groups[group];
        group.reserved.remove(&key);
        group.victims.remove(&key);
        group.long.remove(&long_key);
        if long {
            group.long_held = group.long_held.saturating_sub(1);
            if let Some(member) = self.topology.member_mut(&upstream) {
                member.long = member.long.saturating_sub(1);
            }
        }
    }

    /// Refuses a job whose deadline has passed.
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
        let retry_after_ms = self.retry_after_ms(&entry.item);
        self.refuse(
            id,
            Code::DeadlinePassed,
            retry_after_ms,
            Reason::DeadlinePassed,
            actions,
        );
        true
    }

    fn next_turn(&self, group: usize, reserve: bool) -> Option<Turn> {
        let state = &self.topology.groups[group];
        let due = state.reserve.service_order().into_iter().filter(|&tier| {
            // Also if no higher tier waits now: one that arrives next could preempt the job.
            reserve && state.reserve.is_due(tier, state.slots)
        });
        let mut due = due.filter_map(|tier| self.head(group, tier));
        if let Some(turn) = due.next() {
            return Some(Turn {
                reserved: true,
                ..turn
            });
        }
        (0..TIERS).find_map(|tier| self.head(group, tier))
    }

    /// Returns the oldest of the next jobs of a tier in all lanes that are not full.
    fn head(&self, group: usize, tier: usize) -> Option<Turn> {
        let state = &self.topology.groups[group];
        let heads = state.lanes.iter().filter_map(|&lane| {
            let head = self.lane_head(lane, tier, state.has_room_for_long())?;
            Some((head, lane))
        });
        let (head, lane) = heads.min_by_key(|(head, _)| head.arrival)?;
        Some(Turn {
            id: JobId(head.id),
            lane,
            tier,
            reserved: false,
        })
    }

    pub(crate) fn lane_head(&self, lane: usize, tier: usize, room_for_long: bool) -> Option<Head> {
        if self.queue.waiting(lane, tier) == 0 {
            return None;
        }
        let open = !self.topology.lanes[lane].full[tier] & ItemKind::ALL;
        if open == 0 {
            return None;
        }
        if room_for_long {
            return self.queue.head(lane, tier, open);
        }
        let short = self.queue.head(lane, tier, open & ItemKind::SHORT);
        short.or_else(|| self.queue.head(lane, tier, open))
    }

    fn waiting_by_tier(&self, group: usize) -> [bool; TIERS] {
        let lanes = &self.topology.groups[group].lanes;
        std::array::from_fn(|tier| lanes.iter().any(|&lane| self.queue.waiting(lane, tier) > 0))
    }
}

const fn victim_key(id: JobId, tier: u8, level: u32) -> VictimKey {
    (Reverse(tier), level, Reverse(id.0))
}
