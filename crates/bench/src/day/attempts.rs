//! Requests at daemons and their attempts at engines.

use batch::Sequence;
use sched::{Job, JobId, JobPolicy, LatencyAims, Outcome, Target};

use super::{
    DaySimulation, Event, RETRY_DELAY_DIVISOR, SUBMITS_MAX, one_way_delay_us, setup::account_name,
};

/// Maximum number of attempts of a job, as routes on the users' sites allow.
const ATTEMPTS_MAX: u32 = 3;

/// Attempt of a job at an engine.
#[derive(Debug, Clone, Copy)]
pub(super) struct Attempt {
    pub(super) daemon: usize,
    pub(super) id: JobId,
    pub(super) request: usize,
    pub(super) engine: usize,
    /// Tokens that the caller received from earlier attempts.
    pub(super) base_tokens: u32,
    /// Whether its daemon still counts it as running.
    pub(super) live: bool,
}

impl DaySimulation {
    /// Submits a request to its daemon's scheduler.
    pub(super) fn submit(&mut self, request: usize) {
        let details = &self.requests[request];
        if self.records[request].is_closed() {
            return;
        }
        let daemon = self.daemon_of(request);
        let spec = &self.setup.deployment.requests[details.spec];
        let id = JobId(self.job_requests.len() as u64);
        let job = Job {
            id,
            account: account_name(details.account).into(),
            class: spec.name.into(),
            tier: spec.rank,
            target: Target::Service(spec.service.into()),
            prompt_tokens: details.prompt_tokens(),
            max_tokens: details.output_tokens,
            body_bytes: 0,
            prefix_hash: 0,
            aims: LatencyAims::new(
                details.arrive_us + spec.target_ms * 1_000,
                spec.event_gap_ms * 1_000,
            ),
            deadline_us: details.deadline_us,
            idempotent: true,
            prompt: details.prompt.clone(),
            prompt_parts: sched::PromptParts::default(),
            policy: JobPolicy {
                attempts_max: ATTEMPTS_MAX,
                rejections_max: ATTEMPTS_MAX,
                unsent_max: JobPolicy::default().unsent_max,
                retries_errors: true,
                preemptable: false,
            },
        };
        self.job_requests.push(request);
        self.running_attempts.push(None);
        self.live_jobs[request] = Some((daemon, id));
        self.records[request].submits += 1;
        self.run_scheduler(daemon, |scheduler, now_us, actions| {
            scheduler.submit(now_us, job, actions);
        });
    }

    /// Returns the daemon that a request reaches; a retry reaches another one.
    fn daemon_of(&self, request: usize) -> usize {
        let weight_sum: f64 = self.daemons.iter().map(|daemon| daemon.weight).sum();
        let mut position = self.requests[request].balancer_position * weight_sum;
        let found = self.daemons.iter().position(|daemon| {
            position -= daemon.weight;
            position < 0.0
        });
        let submits = self.records[request].submits as usize;
        (found.unwrap_or(0) + submits) % self.daemons.len()
    }

    /// Starts an attempt of a job at an engine.
    pub(super) fn start(&mut self, daemon: usize, id: JobId, upstream: &str) {
        let request = self.job_requests[index_of(id)];
        let found = self
            .engines
            .binary_search_by(|engine| engine.name.as_str().cmp(upstream));
        let Ok(engine) = found else { return };
        let attempt = self.attempts.len();
        self.attempts.push(Attempt {
            daemon,
            id,
            request,
            engine,
            base_tokens: self.records[request].tokens,
            live: true,
        });
        self.running_attempts[index_of(id)] = Some(attempt);
        let delay_us = one_way_delay_us(self.daemons[daemon].zone, self.engines[engine].zone);
        self.timeline
            .add(self.now_us + delay_us, Event::EngineAdd { attempt });
    }

    /// Handles a refusal: the caller retries later, or the request has failed.
    pub(super) fn refuse(&mut self, id: JobId, retry_after_ms: u64) {
        self.cancel_attempt(id);
        let request = self.job_requests[index_of(id)];
        self.live_jobs[request] = None;
        let record = &mut self.records[request];
        let remaining_us = self.requests[request]
            .deadline_us
            .saturating_sub(self.now_us);
        // A stream that has begun is interrupted, and callers don't retry it.
        if record.submits >= SUBMITS_MAX || record.tokens > 0 {
            record.refused = true;
            return;
        }
        let delay_us = (retry_after_ms * 1_000).min(remaining_us / RETRY_DELAY_DIVISOR);
        self.timeline
            .add(self.now_us + delay_us, Event::Submit { request });
    }

    /// Ends a request whose deadline has passed.
    pub(super) fn handle_deadline(&mut self, request: usize) {
        if self.records[request].is_closed() {
            return;
        }
        self.records[request].deadline_passed = true;
        if let Some((daemon, id)) = self.live_jobs[request].take() {
            self.cancel_attempt(id);
            self.run_scheduler(daemon, |scheduler, now_us, actions| {
                scheduler.cancel(now_us, id, actions);
            });
        }
    }

    /// Cancels the running attempt of a job at its engine.
    pub(super) fn cancel_attempt(&mut self, id: JobId) {
        let Some(attempt) = self.running_attempts[index_of(id)].take() else {
            return;
        };
        self.attempts[attempt].live = false;
        let Attempt { daemon, engine, .. } = self.attempts[attempt];
        let delay_us = one_way_delay_us(self.daemons[daemon].zone, self.engines[engine].zone);
        self.timeline
            .add(self.now_us + delay_us, Event::EngineCancel { attempt });
    }

    /// Adds an attempt that has reached its engine; an engine that is down rejects it.
    pub(super) fn engine_add(&mut self, attempt: usize) {
        let Attempt {
            request,
            engine,
            base_tokens,
            live,
            daemon,
            ..
        } = self.attempts[attempt];
        if !live {
            return;
        }
        if !self.engines[engine].up {
            let delay_us = one_way_delay_us(self.daemons[daemon].zone, self.engines[engine].zone);
            let lost = Event::AttemptLost {
                attempt,
                sent: false,
            };
            self.timeline.add(self.now_us + delay_us, lost);
            return;
        }
        let details = &self.requests[request];
        let parts = details.prompt.iter().map(|part| (part.id, part.tokens));
        let parts: Vec<(u64, u32)> = parts.collect();
        let rank = self.setup.deployment.requests[details.spec].rank;
        let sequence = Sequence::new(attempt as u64)
            .with_priority(i32::from(rank))
            .with_prompt_tokens(details.prompt_tokens() + base_tokens)
            .with_parts(&parts)
            .with_output_tokens(details.output_tokens.saturating_sub(base_tokens).max(1));
        self.engines[engine].batch.add(sequence);
        self.step(engine);
    }

    /// Begins the next step of an engine that is idle between steps and has sequences.
    pub(super) fn step(&mut self, engine: usize) {
        let state = &mut self.engines[engine];
        if !state.up || state.step.is_some() || state.batch.is_idle() {
            return;
        }
        let mut tokens = Vec::new();
        let duration_us = state.batch.step(&mut tokens);
        state.step = Some(tokens);
        let epoch = state.epoch;
        self.timeline
            .add(self.now_us + duration_us, Event::StepEnd { engine, epoch });
    }

    /// Sends the tokens of a completed step to the daemons and begins the next step.
    pub(super) fn step_end(&mut self, engine: usize, epoch: u32) {
        if self.engines[engine].epoch != epoch {
            return;
        }
        let tokens = self.engines[engine].step.take().unwrap_or_default();
        for token in tokens {
            let batch::Event::Token { id, last, .. } = token;
            let attempt = usize::try_from(id).unwrap_or(usize::MAX);
            let daemon = self.attempts[attempt].daemon;
            let delay_us = one_way_delay_us(self.engines[engine].zone, self.daemons[daemon].zone);
            self.timeline
                .add(self.now_us + delay_us, Event::Token { attempt, last });
        }
        self.step(engine);
    }

    /// Handles a token that reaches its daemon.
    pub(super) fn handle_token(&mut self, attempt: usize, last: bool) {
        let Attempt {
            daemon,
            id,
            request,
            live,
            base_tokens,
            ..
        } = self.attempts[attempt];
        if !live {
            return;
        }
        let is_first = self.records[request].tokens == base_tokens;
        let event_tokens = self.setup.deployment.event_tokens;
        self.records[request].record_token(self.now_us, event_tokens, last);
        if is_first {
            self.run_scheduler(daemon, |scheduler, now_us, actions| {
                scheduler.record_first_token(now_us, id, actions);
            });
        } else if self.records[request].tokens.is_multiple_of(event_tokens) {
            self.run_scheduler(daemon, |scheduler, now_us, _| {
                scheduler.record_event(now_us, id);
            });
        }
        if last {
            self.attempts[attempt].live = false;
            self.running_attempts[index_of(id)] = None;
            self.live_jobs[request] = None;
            self.finish(attempt, Outcome::Complete);
        }
    }

    /// Reports a lost attempt to the scheduler, which may retry it.
    pub(super) fn handle_lost_attempt(&mut self, attempt: usize, sent: bool) {
        if !self.attempts[attempt].live {
            return;
        }
        self.attempts[attempt].live = false;
        let Attempt { id, request, .. } = self.attempts[attempt];
        self.running_attempts[index_of(id)] = None;
        let outcome = match (sent, self.records[request].tokens) {
            (false, _) => Outcome::NotSent,
            (true, 0) => Outcome::LostBeforeAnswer,
            (true, _) => Outcome::LostMidStream { resumable: true },
        };
        self.finish(attempt, outcome);
    }

    /// Crashes or restores every fourth engine; a crash breaks the connections of its attempts.
    pub(super) fn crash_or_restore_engines(&mut self, restored: bool) {
        for engine in (0..self.engines.len()).step_by(4) {
            let state = &mut self.engines[engine];
            state.up = restored;
            if restored {
                continue;
            }
            state.epoch += 1;
            state.step = None;
            state.batch.clear();
            let zone = state.zone;
            for attempt in 0..self.attempts.len() {
                let Attempt {
                    daemon,
                    live,
                    engine: attempt_engine,
                    ..
                } = self.attempts[attempt];
                if live && attempt_engine == engine {
                    let delay_us = one_way_delay_us(zone, self.daemons[daemon].zone);
                    let lost = Event::AttemptLost {
                        attempt,
                        sent: true,
                    };
                    self.timeline.add(self.now_us + delay_us, lost);
                }
            }
        }
    }
}

/// Returns the index of a job.
fn index_of(id: JobId) -> usize {
    usize::try_from(id.0).unwrap_or(usize::MAX)
}
