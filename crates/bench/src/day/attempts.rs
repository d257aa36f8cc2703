//! Requests at daemons and engines.

use batch::Sequence;
use sched::{Job, JobId, JobPolicy, Outcome, Target};

use super::{Day, Event, RETURN_SHARE, SUBMITS_MAX, setup::account_name, way_us};

/// Attempts of a job, as routes of the users' sheets allow them.
const ATTEMPTS_MAX: u32 = 3;

/// Attempt of a job at an engine.
#[derive(Debug, Clone, Copy)]
pub(super) struct Attempt {
    pub(super) daemon: usize,
    pub(super) id: JobId,
    pub(super) request: usize,
    pub(super) engine: usize,
    /// Tokens that the caller had before.
    pub(super) base_tokens: u32,
    /// Whether it may still produce something.
    pub(super) live: bool,
}

impl Day {
    pub(super) fn submit(&mut self, request: usize) {
        let wanted = &self.requests[request];
        if self.records[request].is_closed() {
            return;
        }
        let daemon = self.daemon_of(request);
        let mix = &self.setup.sheet.requests[wanted.mix];
        let id = JobId(self.jobs.len() as u64);
        let job = Job {
            id,
            account: account_name(wanted.account).into(),
            class: mix.name.into(),
            tier: mix.rank,
            target: Target::Service(mix.service.into()),
            prompt_tokens: wanted.prompt_tokens(),
            max_tokens: wanted.output_tokens,
            body_bytes: 0,
            prefix_hash: 0,
            deadline_us: wanted.deadline_us,
            idempotent: true,
            prompt: wanted.prompt.clone(),
            policy: JobPolicy {
                attempts_max: ATTEMPTS_MAX,
                rejections_max: ATTEMPTS_MAX,
                unsent_max: JobPolicy::default().unsent_max,
                retries_errors: true,
                preemptable: false,
            },
        };
        self.jobs.push(request);
        self.running.push(None);
        self.live[request] = Some((daemon, id));
        self.records[request].submits += 1;
        self.act(daemon, |scheduler, now_us, actions| {
            scheduler.submit(now_us, job, actions);
        });
    }

    /// Returns the daemon of a caller; one that returns reaches another one.
    fn daemon_of(&self, request: usize) -> usize {
        let all: f64 = self.daemons.iter().map(|daemon| daemon.weight).sum();
        let mut place = self.requests[request].spread * all;
        let found = self.daemons.iter().position(|daemon| {
            place -= daemon.weight;
            place < 0.0
        });
        let submits = self.records[request].submits as usize;
        (found.unwrap_or(0) + submits) % self.daemons.len()
    }

    pub(super) fn start(&mut self, daemon: usize, id: JobId, upstream: &str) {
        let request = self.jobs[index_of(id)];
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
        self.running[index_of(id)] = Some(attempt);
        let way_us = way_us(self.daemons[daemon].zone, self.engines[engine].zone);
        self.timeline
            .add(self.now_us + way_us, Event::EngineAdd { attempt });
    }

    pub(super) fn refuse(&mut self, id: JobId, retry_after_ms: u64) {
        self.cancel_attempt(id);
        let request = self.jobs[index_of(id)];
        self.live[request] = None;
        let record = &mut self.records[request];
        let left_us = self.requests[request]
            .deadline_us
            .saturating_sub(self.now_us);
        // A stream that has begun is broken off, not refused.
        if record.submits >= SUBMITS_MAX || record.tokens > 0 {
            record.refused = true;
            return;
        }
        let pause_us = (retry_after_ms * 1_000).min(left_us / RETURN_SHARE);
        self.timeline
            .add(self.now_us + pause_us, Event::Submit { request });
    }

    /// Ends a request whose caller's time is over.
    pub(super) fn end_late(&mut self, request: usize) {
        if self.records[request].is_closed() {
            return;
        }
        self.records[request].late = true;
        if let Some((daemon, id)) = self.live[request].take() {
            self.cancel_attempt(id);
            self.act(daemon, |scheduler, now_us, actions| {
                scheduler.cancel(now_us, id, actions);
            });
        }
    }

    /// Ends the attempt of a job at its engine.
    pub(super) fn cancel_attempt(&mut self, id: JobId) {
        let Some(attempt) = self.running[index_of(id)].take() else {
            return;
        };
        self.attempts[attempt].live = false;
        let Attempt { daemon, engine, .. } = self.attempts[attempt];
        let way_us = way_us(self.daemons[daemon].zone, self.engines[engine].zone);
        self.timeline
            .add(self.now_us + way_us, Event::EngineCancel { attempt });
    }

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
            let way_us = way_us(self.daemons[daemon].zone, self.engines[engine].zone);
            let lost = Event::Lost {
                attempt,
                sent: false,
            };
            self.timeline.add(self.now_us + way_us, lost);
            return;
        }
        let wanted = &self.requests[request];
        let parts = wanted.prompt.iter().map(|part| (part.id, part.tokens));
        let parts: Vec<(u64, u32)> = parts.collect();
        let rank = self.setup.sheet.requests[wanted.mix].rank;
        let sequence = Sequence::new(attempt as u64)
            .with_priority(i32::from(rank))
            .with_prompt_tokens(wanted.prompt_tokens() + base_tokens)
            .with_parts(&parts)
            .with_output_tokens(wanted.output_tokens.saturating_sub(base_tokens).max(1));
        self.engines[engine].batch.add(sequence);
        self.step(engine);
    }

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

    pub(super) fn step_end(&mut self, engine: usize, epoch: u32) {
        if self.engines[engine].epoch != epoch {
            return;
        }
        let tokens = self.engines[engine].step.take().unwrap_or_default();
        for token in tokens {
            let batch::Event::Token { id, last, .. } = token;
            let attempt = usize::try_from(id).unwrap_or(usize::MAX);
            let daemon = self.attempts[attempt].daemon;
            let way_us = way_us(self.engines[engine].zone, self.daemons[daemon].zone);
            self.timeline
                .add(self.now_us + way_us, Event::Tokens { attempt, last });
        }
        self.step(engine);
    }

    pub(super) fn token(&mut self, attempt: usize, last: bool) {
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
        let first = self.records[request].tokens == base_tokens;
        let event_tokens = self.setup.sheet.event_tokens;
        self.records[request].token(self.now_us, event_tokens, last);
        if first {
            self.act(daemon, |scheduler, now_us, actions| {
                scheduler.record_first_token(now_us, id, actions);
            });
        }
        if last {
            self.attempts[attempt].live = false;
            self.running[index_of(id)] = None;
            self.live[request] = None;
            self.finish(attempt, Outcome::Complete);
        }
    }

    pub(super) fn lost(&mut self, attempt: usize, sent: bool) {
        if !self.attempts[attempt].live {
            return;
        }
        self.attempts[attempt].live = false;
        let Attempt { id, request, .. } = self.attempts[attempt];
        self.running[index_of(id)] = None;
        let outcome = match (sent, self.records[request].tokens) {
            (false, _) => Outcome::NotSent,
            (true, 0) => Outcome::LostBeforeAnswer,
            (true, _) => Outcome::LostMidStream { resumable: true },
        };
        self.finish(attempt, outcome);
    }

    pub(super) fn crash(&mut self, back: bool) {
        for engine in (0..self.engines.len()).step_by(4) {
            let state = &mut self.engines[engine];
            state.up = back;
            if back {
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
                    engine: at,
                    ..
                } = self.attempts[attempt];
                if live && at == engine {
                    let way_us = way_us(zone, self.daemons[daemon].zone);
                    let lost = Event::Lost {
                        attempt,
                        sent: true,
                    };
                    self.timeline.add(self.now_us + way_us, lost);
                }
            }
        }
    }
}

fn index_of(id: JobId) -> usize {
    usize::try_from(id.0).unwrap_or(usize::MAX)
}
