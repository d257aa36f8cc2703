//! Actions of the dispatcher and the attempts that follow from them.

use std::sync::Arc;

use batch::Event as Token;
use sched::{Action, JobId, Outcome as Ended, Reason};

use crate::{
    deployment::{RESERVED_PERCENT, SLOTS},
    event::Event,
    held::Held,
    job_info::{Attempt, JobInfo},
    network::CLIENT_US,
    policy::Policy,
    scheduler::Scheduler,
    world::{SILENCE_US, TOKEN_BYTES, World, index_of, tier_of},
};

impl World {
    /// Passes an event to a daemon's scheduler and carries out its actions.
    pub(super) fn act<F>(&mut self, daemon: usize, event: F)
    where
        F: FnOnce(&mut dyn Scheduler, u64, &mut Vec<Action>),
    {
        let mut actions = Vec::new();
        event(
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
                    self.start(index_of(id), &upstream, priority, reserved);
                }
                Action::Refuse { id, code, .. } => {
                    self.refuse(index_of(id), code.number() / 1_000 == 3);
                }
                Action::Cancel { id, .. } => self.preempt(index_of(id)),
                Action::Queued { .. } => {}
            }
        }
    }

    pub(super) fn start(&mut self, job: usize, upstream: &Arc<str>, priority: i32, reserved: bool) {
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
            base: self.fates[request].received,
            reserved,
            answered: false,
            live: true,
        });
        self.jobs[job].attempt = Some(attempt);
        let tier = self.requests[request].class;
        self.engines[engine].held.add(tier, reserved);
        self.daemons[daemon].held[engine].add(tier, reserved);
        let beyond = self.engines[engine].held.all().saturating_sub(SLOTS);
        self.counts.overcommitted = self.counts.overcommitted.max(beyond);
        self.daemons[daemon]
            .holder
            .request_started(upstream, tier_of(tier));
        let (from, to) = (&self.daemons[daemon].place, &self.engines[engine].place);
        if self.network.reaches(from, to) {
            let bytes = self.requests[request].body_bytes;
            let at_us = self.network.send(self.now_us, from, to, bytes);
            self.timeline.add(at_us, Event::EngineAdd { attempt });
        } else {
            let outcome = Ended::NotSent;
            self.timeline
                .add(self.now_us + SILENCE_US, Event::Lost { attempt, outcome });
        }
    }

    pub(super) fn refuse(&mut self, job: usize, shed: bool) {
        let JobInfo {
            request, daemon, ..
        } = self.jobs[job];
        self.end_attempt(job, true);
        self.jobs[job].live = false;
        self.live[request].retain(|&other| other != job);
        if !self.live[request].is_empty() || self.fates[request].is_closed() {
            return;
        }
        self.fates[request].refused_us = Some(self.now_us);
        self.open -= 1;
        let tier = self.requests[request].class;
        if shed {
            self.counts.shed[tier] += 1;
            if self.lower_tier_holds_room(daemon, tier) {
                self.counts.tier_inversions += 1;
            }
        }
    }

    pub(super) fn preempt(&mut self, job: usize) {
        let JobInfo {
            request, daemon, ..
        } = self.jobs[job];
        let tier = self.requests[request].class;
        // A daemon can't preempt the work of others, nor start anything in the place of a job on
        // a slot that its home has taken back.
        let taker = &self.daemons[daemon];
        let mut held = Held::default();
        for (engine, own) in self.engines.iter().zip(&taker.held) {
            let share = match self.setup.policy {
                Policy::Alone | Policy::Grant => taker.holder.share(self.now_us, &engine.name),
                _ => SLOTS,
            };
            if own.all() <= share {
                held.merge(*own);
            }
        }
        if held.has_below(tier, u32::MAX) {
            self.counts.tier_inversions += 1;
        }
        self.end_attempt(job, true);
    }

    /// Returns whether work of a lower tier runs within reach, beyond the reserved share.
    pub(super) fn lower_tier_holds_room(&self, daemon: usize, tier: usize) -> bool {
        let taker = &self.daemons[daemon];
        let all = self.setup.policy.is_baseline() || self.setup.policy == Policy::Home;
        let mut held = Held::default();
        let mut slots = 0;
        for engine in &self.engines {
            let uses = all || taker.holder.uses(&engine.name);
            if engine.up && uses && self.network.reaches(&taker.place, &engine.place) {
                held.merge(engine.held);
                slots += SLOTS;
            }
        }
        // Each daemon rounds its part of the reserved share up to a whole slot.
        let daemons = u32::try_from(self.daemons.len()).unwrap_or(u32::MAX);
        held.has_below(tier, (slots * RESERVED_PERCENT).div_ceil(100) + daemons)
    }

    /// Drops a job whose caller does not wait for it.
    pub(super) fn cancel_job(&mut self, job: usize) {
        if !self.jobs[job].live {
            return;
        }
        self.jobs[job].live = false;
        self.end_attempt(job, true);
        let daemon = self.jobs[job].daemon;
        self.act(daemon, |scheduler, now_us, actions| {
            scheduler.cancel(now_us, JobId(job as u64), actions);
        });
    }

    /// Frees an attempt's slot as the daemon counts it; `cancel` closes the connection.
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
        self.engines[engine].held.remove(tier, reserved);
        self.daemons[daemon].held[engine].remove(tier, reserved);
        let name = self.engines[engine].name.clone();
        self.daemons[daemon]
            .holder
            .request_ended(&name, tier_of(tier));
        if cancel {
            let (from, to) = (&self.daemons[daemon].place, &self.engines[engine].place);
            let at_us = if self.network.reaches(from, to) {
                self.network.send(self.now_us, from, to, 0)
            } else {
                self.now_us + SILENCE_US
            };
            self.timeline.add(at_us, Event::EngineCancel { attempt });
        }
    }

    pub(super) fn lost(&mut self, attempt: usize, outcome: Ended) {
        let job = self.attempts[attempt].job;
        if !self.attempts[attempt].live || !self.jobs[job].live {
            return;
        }
        self.end_attempt(job, false);
        let daemon = self.jobs[job].daemon;
        self.act(daemon, |scheduler, now_us, actions| {
            scheduler.finish(now_us, JobId(job as u64), outcome, actions);
        });
    }

    pub(super) fn tokens(&mut self, daemon: usize, tokens: &[Token]) {
        for &Token::Token { id, index, last } in tokens {
            let attempt = usize::try_from(id).unwrap_or(usize::MAX);
            if self.attempts[attempt].live {
                self.token(daemon, attempt, index, last);
            }
        }
    }

    pub(super) fn token(&mut self, daemon: usize, attempt: usize, index: u32, last: bool) {
        let job = self.attempts[attempt].job;
        let id = JobId(job as u64);
        let request = self.jobs[job].request;
        let first = !std::mem::replace(&mut self.attempts[attempt].answered, true);
        self.act(daemon, |scheduler, now_us, actions| {
            if first {
                scheduler.first_token(now_us, id, actions);
            } else {
                scheduler.tokens(now_us, id, 1, actions);
            }
        });
        if first && self.live[request].len() > 1 {
            let others = std::mem::replace(&mut self.live[request], vec![job]);
            for other in others.into_iter().filter(|&other| other != job) {
                self.cancel_job(other);
            }
        }
        if !self.attempts[attempt].live {
            return;
        }
        let origin = self.origins[request];
        let hop_us = if origin == daemon {
            0
        } else {
            self.send(daemon, origin, TOKEN_BYTES)
                .map_or(SILENCE_US, |at_us| at_us - self.now_us)
        };
        self.deliver(request, attempt, index, hop_us + CLIENT_US);
        if last {
            self.end_attempt(job, false);
            self.jobs[job].live = false;
            self.live[request].clear();
            if !self.fates[request].is_closed() {
                self.fates[request].complete = true;
                self.open -= 1;
            }
            self.act(daemon, |scheduler, now_us, actions| {
                scheduler.finish(now_us, id, Ended::Complete, actions);
            });
        }
    }

    pub(super) fn deliver(&mut self, request: usize, attempt: usize, index: u32, delay_us: u64) {
        let at_us = self.now_us + delay_us;
        let fate = &mut self.fates[request];
        let position = self.attempts[attempt].base + index;
        if position != fate.received {
            self.counts.stream_gaps += 1;
        }
        fate.received = position + 1;
        fate.first_us = fate.first_us.or(Some(at_us));
        fate.last_us = at_us;
        fate.received_in_window += u32::from(at_us <= self.setup.end_us);
        if self.requests[request].leave_after_tokens == Some(fate.received) {
            self.timeline.add(at_us, Event::Leave { request });
        }
    }
}
