//! Engines and their load reports.

use batch::{Event as TokenEvent, Sequence};
use sched::{LoadReport, Outcome as AttemptOutcome};

use crate::{
    event::Event,
    job_info::{Attempt, JobInfo},
    simulation::{LOAD_REPORT_INTERVAL_US, Simulation, TOKEN_BYTES},
};

impl Simulation {
    /// Adds an attempt that has reached its engine; an engine that is down rejects it.
    pub(super) fn engine_add(&mut self, attempt: usize) {
        let Attempt {
            job,
            engine,
            priority,
            base_tokens,
            live,
            ..
        } = self.attempts[attempt];
        if !live {
            return;
        }
        if !self.engines[engine].up {
            let daemon = self.jobs[job].daemon;
            let (from, to) = (
                &self.engines[engine].locality,
                &self.daemons[daemon].locality,
            );
            let at_us = self.network.send(self.now_us, from, to, 0);
            let outcome = AttemptOutcome::NotSent;
            self.timeline
                .add(at_us, Event::AttemptLost { attempt, outcome });
            return;
        }
        let details = &self.requests[self.jobs[job].request];
        let prefix_tokens = self.classes[details.class].prefix_tokens;
        let mut sequence = Sequence::new(attempt as u64)
            .with_priority(priority)
            .with_prompt_tokens(details.prompt_tokens + base_tokens)
            .with_output_tokens((details.output_tokens.saturating_sub(base_tokens)).max(1));
        if prefix_tokens > 0 {
            let tokens = prefix_tokens.min(details.prompt_tokens);
            sequence = sequence.with_parts(&[(details.prefix, tokens)]);
        }
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
        let mut by_daemon: Vec<(usize, Vec<TokenEvent>)> = Vec::new();
        for token in tokens {
            let TokenEvent::Token { id, .. } = token;
            let attempt = &self.attempts[usize::try_from(id).unwrap_or(usize::MAX)];
            let JobInfo {
                request, daemon, ..
            } = self.jobs[attempt.job];
            self.counts.generated_tokens += 1;
            if !attempt.live || self.records[request].disconnected_us.is_some() {
                self.counts.wasted_tokens += 1;
            }
            match by_daemon.iter_mut().find(|(other, _)| *other == daemon) {
                Some((_, tokens)) => tokens.push(token),
                None => by_daemon.push((daemon, vec![token])),
            }
        }
        for (daemon, tokens) in by_daemon {
            let (from, to) = (
                &self.engines[engine].locality,
                &self.daemons[daemon].locality,
            );
            if self.network.reaches(from, to) {
                let bytes = TOKEN_BYTES * tokens.len() as u64;
                let at_us = self.network.send(self.now_us, from, to, bytes);
                self.timeline.add(at_us, Event::Tokens { daemon, tokens });
            }
        }
        self.step(engine);
    }

    /// Publishes the load reports of all engines, which arrive after the scenario's delay.
    pub(super) fn publish_loads(&mut self) {
        self.timeline
            .add(self.now_us + LOAD_REPORT_INTERVAL_US, Event::PublishLoads);
        let at_us = self.now_us + self.setup.scenario.report_age_us();
        for (engine, state) in self.engines.iter().enumerate() {
            if state.up {
                let load = state.load();
                self.timeline.add(at_us, Event::LoadReport { engine, load });
            }
        }
    }

    /// Passes a load report to the daemons that read it and can reach the engine.
    pub(super) fn deliver_load_report(&mut self, engine: usize, load: LoadReport) {
        let name = self.engines[engine].name.clone();
        for index in 0..self.pollers[engine].len() {
            let daemon = self.pollers[engine][index];
            let state = &self.daemons[daemon];
            let reaches = self
                .network
                .reaches(&self.engines[engine].locality, &state.locality);
            if state.up && reaches && state.paused_until_us <= self.now_us {
                self.run_scheduler(daemon, |scheduler, now_us, actions| {
                    scheduler.report_load(now_us, &name, &load, actions);
                });
            }
        }
    }
}
