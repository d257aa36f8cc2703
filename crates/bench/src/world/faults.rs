//! Changes of the environment.

use sched::Outcome as Ended;

use crate::{
    event::Event,
    fault::Fault,
    job_info::{Attempt, JobInfo},
    world::{RETRY_US, SILENCE_US, VIEW_LAG_US, World},
};

impl World {
    pub(super) fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Slow { engine, percent } => {
                self.engines[engine].batch.set_slowdown_percent(percent);
            }
            Fault::Crash { engine } => {
                let state = &mut self.engines[engine];
                state.batch.clear();
                state.up = false;
                state.epoch += 1;
                state.step = None;
                self.lose(2_000, |_, attempt| attempt.engine == engine);
            }
            Fault::Restore { engine } => self.engines[engine].up = true,
            Fault::Die { daemon } => self.die(daemon),
            Fault::Start { daemon } => {
                self.daemons[daemon].restart(self.setup.policy);
                self.update_views();
                self.configure(daemon);
                self.update_pollers();
                self.timeline.add(self.now_us + VIEW_LAG_US, Event::View);
            }
            Fault::Pause { daemon, for_us } => {
                self.daemons[daemon].paused_at_us = self.now_us;
                self.daemons[daemon].paused_until_us = self.now_us + for_us;
                self.timeline.add(self.now_us + VIEW_LAG_US, Event::View);
                self.timeline.add(self.now_us + for_us, Event::View);
            }
            Fault::Cut => {
                self.network.cut = true;
                self.lose(SILENCE_US, |world, attempt| {
                    let daemon = world.jobs[attempt.job].daemon;
                    let from = &world.daemons[daemon].place;
                    !world
                        .network
                        .reaches(from, &world.engines[attempt.engine].place)
                });
                self.timeline.add(self.now_us + VIEW_LAG_US, Event::View);
            }
            Fault::Mend => {
                self.network.cut = false;
                self.timeline.add(self.now_us + VIEW_LAG_US, Event::View);
            }
        }
    }

    /// Breaks the connections of live attempts; their daemons notice after a delay.
    pub(super) fn lose<F>(&mut self, delay_us: u64, is_broken: F)
    where
        F: Fn(&Self, &Attempt) -> bool,
    {
        for index in 0..self.attempts.len() {
            let attempt = &self.attempts[index];
            if !attempt.live || !is_broken(self, attempt) {
                continue;
            }
            let outcome = if attempt.answered {
                Ended::LostMidStream { resumable: true }
            } else {
                Ended::LostBeforeAnswer
            };
            let lost = Event::Lost {
                attempt: index,
                outcome,
            };
            self.timeline.add(self.now_us + delay_us, lost);
            let cancel = Event::EngineCancel { attempt: index };
            self.timeline.add(self.now_us + delay_us, cancel);
        }
    }

    pub(super) fn die(&mut self, daemon: usize) {
        self.daemons[daemon].up = false;
        for job in 0..self.jobs.len() {
            let JobInfo { request, live, .. } = self.jobs[job];
            let lost = self.jobs[job].daemon == daemon || self.origins[request] == daemon;
            if !live || !lost {
                continue;
            }
            if self.jobs[job].daemon == daemon {
                self.end_attempt(job, true);
                self.jobs[job].live = false;
            } else {
                self.cancel_job(job);
            }
            self.live[request].retain(|&other| other != job);
            if self.fates[request].is_closed() || !self.live[request].is_empty() {
                continue;
            }
            // The caller starts over: what it had of the broken answer does not count.
            let fate = &mut self.fates[request];
            fate.first_us = None;
            fate.received = 0;
            self.timeline
                .add(self.now_us + RETRY_US, Event::Arrive { request });
        }
        self.timeline.add(self.now_us + VIEW_LAG_US, Event::View);
    }
}
