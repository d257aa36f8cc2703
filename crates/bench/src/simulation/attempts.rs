//! Actions of the schedulers and the attempts that result from them.

use std::sync::Arc;

use batch::Event as TokenEvent;
use sched::{Action, JobId, Outcome as AttemptOutcome, Reason};

use crate::{
    deployment::{RESERVED_PERCENT, SLOTS},
    event::Event,
    job_info::{Attempt, JobInfo},
    network::CALLER_DELAY_US,
    policy::Policy,
    scheduler::Scheduler,
    simulation::{CONNECTION_TIMEOUT_US, Simulation, TOKEN_BYTES, index_of, tier_of},
    slot_usage::SlotUsage,
};

impl Simulation {
    /// Calls a daemon's scheduler and carries out the actions that it returns.
    pub(super) fn run_scheduler<F>(&mut self, daemon: usize, call: F)
    where
        F: FnOnce(&mut dyn Scheduler, u64, &mut Vec<Action>),
    {
        let mut actions = Vec::new();
        call(
            self.daemons[daemon].scheduler.as_mut(),
            self.now_us,
            &mut actions,
        );
        for action in actions {
            match action {
                Action::Start {
                    id,
                    upstream,
                    priority,
                    reason,
                    ..
                } => {
                    let reserved = reason == Reason::ReservedShare;
                    self.start_attempt(index_of(id), &upstream, priority, reserved);
                }
                Action::Refuse { id, code, .. } => {
                    self.refuse(index_of(id), code.number() / 1_000 == 3);
                }
                Action::Cancel { id, .. } => self.preempt(index_of(id)),
                Action::Queued { .. } => {}
            }
        }
    }

    /// Starts an attempt of a job at an engine.
    pub(super) fn start_attempt(
        &mut self,
        job: usize,
        upstream: &Arc<str>,
        priority: i32,
        reserved: bool,
    ) {
        let JobInfo {
            request, daemon, ..
        } = self.jobs[job];
        let found = self
            .engines
            .binary_search_by(|engine| engine.name.cmp(upstream));
        let Ok(engine) = found else {
            return;
        };
        let attempt = self.attempts.len();
        self.attempts.push(Attempt {
            job,
            engine,
            priority,
            base_tokens: self.records[request].received_tokens,
            reserved,
            answered: false,
            live: true,
        });
        self.jobs[job].attempt = Some(attempt);
        let tier = self.requests[request].class;
        self.engines[engine].slot_usage.add(tier, reserved);
        self.daemons[daemon].slot_usage[engine].add(tier, reserved);
        let excess = self.engines[engine]
            .slot_usage
            .total()
            .saturating_sub(SLOTS);
        self.counts.overcommitted = self.counts.overcommitted.max(excess);
        self.daemons[daemon]
            .holder
            .request_started(upstream, tier_of(tier));
        let (from, to) = (
            &self.daemons[daemon].locality,
            &self.engines[engine].locality,
        );
        if self.network.reaches(from, to) {
            let bytes = self.requests[request].body_bytes;
            let at_us = self.network.send(self.now_us, from, to, bytes);
            self.timeline.add(at_us, Event::EngineAdd { attempt });
        } else {
            let outcome = AttemptOutcome::NotSent;
            self.timeline.add(
                self.now_us + CONNECTION_TIMEOUT_US,
                Event::AttemptLost { attempt, outcome },
            );
        }
    }

    /// Ends a refused job, and its request unless another job serves it. `shed`: by load shedding.
    pub(super) fn refuse(&mut self, job: usize, shed: bool) {
        let JobInfo {
            request, daemon, ..
        } = self.jobs[job];
        self.end_attempt(job, true);
        self.jobs[job].live = false;
        self.live_jobs[request].retain(|&other| other != job);
        if !self.live_jobs[request].is_empty() || self.records[request].is_closed() {
            return;
        }
        self.records[request].refused_us = Some(self.now_us);
        self.open_requests -= 1;
        let tier = self.requests[request].class;
        if shed {
            self.counts.shed[tier] += 1;
            if self.lower_tier_holds_slots(daemon, tier) {
                self.counts.tier_inversions += 1;
            }
        }
    }

    /// Ends the attempt of a job that its scheduler preempts.
    pub(super) fn preempt(&mut self, job: usize) {
        let JobInfo {
            request, daemon, ..
        } = self.jobs[job];
        let tier = self.requests[request].class;
        // A daemon can't preempt the jobs of other daemons. On an engine whose home has reduced its
        // share, it can't start anything in place of a preempted job.
        let daemon_state = &self.daemons[daemon];
        let mut slot_usage = SlotUsage::default();
        for (engine, usage) in self.engines.iter().zip(&daemon_state.slot_usage) {
            let share = match self.setup.policy {
                Policy::EqualSplit | Policy::Grant => {
                    daemon_state.holder.share(self.now_us, &engine.name)
                }
                _ => SLOTS,
            };
            if usage.total() <= share {
                slot_usage.merge(*usage);
            }
        }
        if slot_usage.lower_tiers_exceed(tier, u32::MAX) {
            self.counts.tier_inversions += 1;
        }
        self.end_attempt(job, true);
    }

    /// Returns whether lower tiers hold more than their reserved share of the engines that the
    /// daemon uses and can reach.
    pub(super) fn lower_tier_holds_slots(&self, daemon: usize, tier: usize) -> bool {
        let daemon_state = &self.daemons[daemon];
        let all = self.setup.policy.is_baseline() || self.setup.policy == Policy::Home;
        let mut slot_usage = SlotUsage::default();
        let mut slots = 0;
        for engine in &self.engines {
            let uses = all || daemon_state.holder.uses(&engine.name);
            if engine.up
                && uses
                && self
                    .network
                    .reaches(&daemon_state.locality, &engine.locality)
            {
                slot_usage.merge(engine.slot_usage);
                slots += SLOTS;
            }
        }
        // Each daemon rounds its part of the reserved share up to a whole slot.
        let daemons = u32::try_from(self.daemons.len()).unwrap_or(u32::MAX);
        slot_usage.lower_tiers_exceed(tier, (slots * RESERVED_PERCENT).div_ceil(100) + daemons)
    }

    /// Cancels a job that is no longer needed.
    pub(super) fn cancel_job(&mut self, job: usize) {
        if !self.jobs[job].live {
            return;
        }
        self.jobs[job].live = false;
        self.end_attempt(job, true);
        let daemon = self.jobs[job].daemon;
        self.run_scheduler(daemon, |scheduler, now_us, actions| {
            scheduler.cancel(now_us, JobId(job as u64), actions);
        });
    }

    /// Ends the running attempt of a job and frees its slot in the daemon's count; `cancel` also
    /// cancels it at the engine.
    pub(super) fn end_attempt(&mut self, job: usize, cancel: bool) {
        let Some(attempt) = self.jobs[job].attempt.take() else {
            return;
        };
        let JobInfo {
            request, daemon, ..
        } = self.jobs[job];
        let Attempt {
            engine, reserved, ..
        } = self.attempts[attempt];
        self.attempts[attempt].live = false;
        let tier = self.requests[request].class;
        self.engines[engine].slot_usage.remove(tier, reserved);
        self.daemons[daemon].slot_usage[engine].remove(tier, reserved);
        let name = self.engines[engine].name.clone();
        self.daemons[daemon]
            .holder
            .request_ended(&name, tier_of(tier));
        if cancel {
            let (from, to) = (
                &self.daemons[daemon].locality,
                &self.engines[engine].locality,
            );
            let at_us = if self.network.reaches(from, to) {
                self.network.send(self.now_us, from, to, 0)
            } else {
                self.now_us + CONNECTION_TIMEOUT_US
            };
            self.timeline.add(at_us, Event::EngineCancel { attempt });
        }
    }

    /// Reports a lost attempt to the scheduler, which may retry it.
    pub(super) fn handle_lost_attempt(&mut self, attempt: usize, outcome: AttemptOutcome) {
        let job = self.attempts[attempt].job;
        if !self.attempts[attempt].live || !self.jobs[job].live {
            return;
        }
        self.end_attempt(job, false);
        let daemon = self.jobs[job].daemon;
        self.run_scheduler(daemon, |scheduler, now_us, actions| {
            scheduler.finish(now_us, JobId(job as u64), outcome, actions);
        });
    }

    /// Handles the tokens that a daemon receives from an engine.
    pub(super) fn handle_tokens(&mut self, daemon: usize, tokens: &[TokenEvent]) {
        for &TokenEvent::Token { id, index, last } in tokens {
            let attempt = usize::try_from(id).unwrap_or(usize::MAX);
            if self.attempts[attempt].live {
                self.handle_token(daemon, attempt, index, last);
            }
        }
    }

    /// Passes one token on to the caller; the first one cancels the other copies of the request.
    pub(super) fn handle_token(&mut self, daemon: usize, attempt: usize, index: u32, last: bool) {
        let job = self.attempts[attempt].job;
        let id = JobId(job as u64);
        let request = self.jobs[job].request;
        let is_first = !std::mem::replace(&mut self.attempts[attempt].answered, true);
        self.run_scheduler(daemon, |scheduler, now_us, actions| {
            if is_first {
                scheduler.record_first_token(now_us, id, actions);
            } else {
                scheduler.record_tokens(now_us, id, 1, actions);
            }
        });
        if is_first && self.live_jobs[request].len() > 1 {
            let others = std::mem::replace(&mut self.live_jobs[request], vec![job]);
            for other in others.into_iter().filter(|&other| other != job) {
                self.cancel_job(other);
            }
        }
        if !self.attempts[attempt].live {
            return;
        }
        let origin = self.origins[request];
        let forward_us = if origin == daemon {
            0
        } else {
            self.send(daemon, origin, TOKEN_BYTES)
                .map_or(CONNECTION_TIMEOUT_US, |at_us| at_us - self.now_us)
        };
        self.deliver_token(request, attempt, index, forward_us + CALLER_DELAY_US);
        if last {
            self.end_attempt(job, false);
            self.jobs[job].live = false;
            self.live_jobs[request].clear();
            if !self.records[request].is_closed() {
                self.records[request].complete = true;
                self.open_requests -= 1;
            }
            self.run_scheduler(daemon, |scheduler, now_us, actions| {
                scheduler.finish(now_us, id, AttemptOutcome::Complete, actions);
            });
        }
    }

    /// Records a token at its caller, which may disconnect after it.
    pub(super) fn deliver_token(
        &mut self,
        request: usize,
        attempt: usize,
        index: u32,
        delay_us: u64,
    ) {
        let at_us = self.now_us + delay_us;
        let record = &mut self.records[request];
        let position = self.attempts[attempt].base_tokens + index;
        if position != record.received_tokens {
            self.counts.stream_gaps += 1;
        }
        record.received_tokens = position + 1;
        record.first_token_us = record.first_token_us.or(Some(at_us));
        record.last_token_us = at_us;
        record.received_in_window_tokens += u32::from(at_us <= self.setup.end_us);
        if self.requests[request].disconnect_after_tokens == Some(record.received_tokens) {
            self.timeline
                .add(at_us, Event::CallerDisconnect { request });
        }
    }
}
