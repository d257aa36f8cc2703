//! Effects of faults.

use sched::Outcome as AttemptOutcome;

use crate::{
    event::Event,
    fault::Fault,
    job_info::{Attempt, JobInfo},
    simulation::{CALLER_RETRY_US, CONNECTION_TIMEOUT_US, Simulation, VIEW_DELAY_US},
};

impl Simulation {
    /// Begins or ends a fault.
    pub(super) fn apply_fault(&mut self, fault: Fault) {
        match fault {
            Fault::EngineSlowdown { engine, percent } => {
                self.engines[engine].batch.set_slowdown_percent(percent);
            }
            Fault::EngineCrash { engine } => {
                let state = &mut self.engines[engine];
                state.batch.clear();
                state.up = false;
                state.epoch += 1;
                state.step = None;
                self.break_connections(2_000, |_, attempt| attempt.engine == engine);
            }
            Fault::EngineRestart { engine } => self.engines[engine].up = true,
            Fault::DaemonCrash { daemon } => self.crash_daemon(daemon),
            Fault::DaemonStart { daemon } => {
                self.daemons[daemon].restart(self.setup.policy);
                self.update_views();
                self.configure(daemon);
                self.update_pollers();
                self.timeline
                    .add(self.now_us + VIEW_DELAY_US, Event::ViewChange);
            }
            Fault::DaemonPause {
                daemon,
                duration_us,
            } => {
                self.daemons[daemon].paused_at_us = self.now_us;
                self.daemons[daemon].paused_until_us = self.now_us + duration_us;
                self.timeline
                    .add(self.now_us + VIEW_DELAY_US, Event::ViewChange);
                self.timeline
                    .add(self.now_us + duration_us, Event::ViewChange);
            }
            Fault::RegionPartition => {
                self.network.partitioned = true;
                self.break_connections(CONNECTION_TIMEOUT_US, |simulation, attempt| {
                    let daemon = simulation.jobs[attempt.job].daemon;
                    let from = &simulation.daemons[daemon].locality;
                    !simulation
                        .network
                        .reaches(from, &simulation.engines[attempt.engine].locality)
                });
                self.timeline
                    .add(self.now_us + VIEW_DELAY_US, Event::ViewChange);
            }
            Fault::PartitionEnd => {
                self.network.partitioned = false;
                self.timeline
                    .add(self.now_us + VIEW_DELAY_US, Event::ViewChange);
            }
        }
    }

    /// Breaks the connections of live attempts; their daemons detect it after a delay.
    pub(super) fn break_connections<F>(&mut self, delay_us: u64, is_broken: F)
    where
        F: Fn(&Self, &Attempt) -> bool,
    {
        for index in 0..self.attempts.len() {
            let attempt = &self.attempts[index];
            if !attempt.live || !is_broken(self, attempt) {
                continue;
            }
            let outcome = if attempt.answered {
                AttemptOutcome::LostMidStream { resumable: true }
            } else {
                AttemptOutcome::LostBeforeAnswer
            };
            let lost = Event::AttemptLost {
                attempt: index,
                outcome,
            };
            self.timeline.add(self.now_us + delay_us, lost);
            let cancel = Event::EngineCancel { attempt: index };
            self.timeline.add(self.now_us + delay_us, cancel);
        }
    }

    /// Stops a daemon; the callers of its requests send them again.
    pub(super) fn crash_daemon(&mut self, daemon: usize) {
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
            self.live_jobs[request].retain(|&other| other != job);
            if self.records[request].is_closed() || !self.live_jobs[request].is_empty() {
                continue;
            }
            // The caller starts over: tokens of the interrupted answer do not count.
            let record = &mut self.records[request];
            record.first_token_us = None;
            record.received_tokens = 0;
            self.timeline
                .add(self.now_us + CALLER_RETRY_US, Event::Arrive { request });
        }
        self.timeline
            .add(self.now_us + VIEW_DELAY_US, Event::ViewChange);
    }
}
