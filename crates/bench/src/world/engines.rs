//! Engines and their load reports.

use batch::{Event as Token, Sequence};
use sched::{LoadReport, Outcome as Ended};

use crate::{
    event::Event,
    job_info::{Attempt, JobInfo},
    world::{PUBLISH_US, TOKEN_BYTES, World},
};

impl World {
    pub(super) fn engine_add(&mut self, attempt: usize) {
        let Attempt {
            job,
            engine,
            priority,
            base,
            live,
            ..
        } = self.attempts[attempt];
        if !live {
            return;
        }
        if !self.engines[engine].up {
            let daemon = self.jobs[job].daemon;
            let (from, to) = (&self.engines[engine].place, &self.daemons[daemon].place);
            let at_us = self.network.send(self.now_us, from, to, 0);
            let outcome = Ended::NotSent;
            self.timeline.add(at_us, Event::Lost { attempt, outcome });
            return;
        }
        let wanted = &self.requests[self.jobs[job].request];
        let prefix_tokens = self.classes[wanted.class].prefix_tokens;
        let mut sequence = Sequence::new(attempt as u64)
            .with_priority(priority)
            .with_prompt_tokens(wanted.prompt_tokens + base)
            .with_output_tokens((wanted.output_tokens.saturating_sub(base)).max(1));
        if prefix_tokens > 0 {
            let tokens = prefix_tokens.min(wanted.prompt_tokens);
            sequence = sequence.with_parts(&[(wanted.prefix, tokens)]);
        }
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
        let mut by_daemon: Vec<(usize, Vec<Token>)> = Vec::new();
        for token in tokens {
            let Token::Token { id, .. } = token;
            let attempt = &self.attempts[usize::try_from(id).unwrap_or(usize::MAX)];
            let JobInfo {
                request, daemon, ..
            } = self.jobs[attempt.job];
            self.counts.generated_tokens += 1;
            if !attempt.live || self.fates[request].left_us.is_some() {
                self.counts.wasted_tokens += 1;
            }
            match by_daemon.iter_mut().find(|(other, _)| *other == daemon) {
                Some((_, tokens)) => tokens.push(token),
                None => by_daemon.push((daemon, vec![token])),
            }
        }
        for (daemon, tokens) in by_daemon {
            let (from, to) = (&self.engines[engine].place, &self.daemons[daemon].place);
            if self.network.reaches(from, to) {
                let bytes = TOKEN_BYTES * tokens.len() as u64;
                let at_us = self.network.send(self.now_us, from, to, bytes);
                self.timeline.add(at_us, Event::Tokens { daemon, tokens });
            }
        }
        self.step(engine);
    }

    pub(super) fn publish(&mut self) {
        self.timeline.add(self.now_us + PUBLISH_US, Event::Publish);
        let at_us = self.now_us + self.setup.scenario.report_age_us();
        for (engine, state) in self.engines.iter().enumerate() {
            if state.up {
                let load = state.load();
                self.timeline.add(at_us, Event::Report { engine, load });
            }
        }
    }

    pub(super) fn report(&mut self, engine: usize, load: LoadReport) {
        let name = self.engines[engine].name.clone();
        for index in 0..self.pollers[engine].len() {
            let daemon = self.pollers[engine][index];
            let state = &self.daemons[daemon];
            let reaches = self
                .network
                .reaches(&self.engines[engine].place, &state.place);
            if state.up && reaches && state.paused_until_us <= self.now_us {
                self.act(daemon, |scheduler, now_us, actions| {
                    scheduler.report(now_us, &name, &load, actions);
                });
            }
        }
    }
}
