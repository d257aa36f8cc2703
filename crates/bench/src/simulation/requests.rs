//! Requests at a daemon, and their forwarding, hedging and migration.

use sched::{Job, JobId, JobPolicy, LatencyAims, Target};

use crate::{
    deployment::{ACCOUNTS, MODEL},
    event::Event,
    job_info::JobInfo,
    network::CALLER_DELAY_US,
    policy::Policy,
    simulation::{
        CALLER_RETRY_US, CONNECTION_TIMEOUT_US, Simulation, URGENT_REQUESTS_PER_COPY, index_of,
    },
};

impl Simulation {
    /// Submits a request to a daemon's scheduler, or forwards it to the home of an engine.
    pub(super) fn submit(&mut self, daemon: usize, request: usize, forwarded: bool) {
        if self.records[request].is_closed() {
            return;
        }
        if !self.daemons[daemon].up {
            let retry = if forwarded {
                Event::Submit {
                    daemon: self.origins[request],
                    request,
                    forwarded: false,
                }
            } else {
                Event::Arrive { request }
            };
            self.timeline.add(self.now_us + CALLER_RETRY_US, retry);
            return;
        }
        if self.setup.policy == Policy::Home
            && !forwarded
            && let Some(home) = self.next_home(daemon)
            && home != daemon
        {
            self.forward(daemon, home, request);
            return;
        }
        let id = JobId(self.jobs.len() as u64);
        self.jobs.push(JobInfo {
            request,
            daemon,
            attempt: None,
            live: true,
        });
        self.live_jobs[request].push(index_of(id));
        let job = self.build_job(id, request);
        if job.tier == 0 && !forwarded {
            self.urgent_requests += 1;
            let delay_us = self.setup.hedge_us.max(self.setup.migrate_us);
            if delay_us > 0 {
                self.timeline
                    .add(self.now_us + delay_us, Event::HedgeTimer { job: id });
            }
        }
        self.run_scheduler(daemon, |scheduler, now_us, actions| {
            scheduler.submit(now_us, job, actions);
        });
    }

    /// Creates the scheduler's job for a request.
    pub(super) fn build_job(&self, id: JobId, request: usize) -> Job {
        let details = &self.requests[request];
        let class = &self.classes[details.class].class;
        Job {
            id,
            account: ACCOUNTS[details.account].0.into(),
            class: class.name.as_str().into(),
            tier: class.tier,
            target: Target::Model(MODEL.into()),
            prompt_tokens: details.prompt_tokens,
            max_tokens: 0,
            body_bytes: details.body_bytes,
            prefix_hash: details.prefix,
            aims: LatencyAims::default(),
            deadline_us: self.records[request].sent_us
                + CALLER_DELAY_US
                + class.max_wait_ms * 1_000,
            idempotent: true,
            prompt: [].into(),
            prompt_parts: sched::PromptParts::default(),
            policy: JobPolicy::default(),
        }
    }

    /// Returns the home of the next engine, round robin, in the daemon's own region.
    pub(super) fn next_home(&mut self, daemon: usize) -> Option<usize> {
        let region = self.daemons[daemon].region;
        let count = self.engines.len();
        let start = self.daemons[daemon].next_engine;
        let engine = (0..count)
            .map(|step| (start + step) % count)
            .find(|&engine| {
                self.engines[engine].locality.region == self.daemons[daemon].locality.region
            })?;
        self.daemons[daemon].next_engine = engine + 1;
        let budget = &self.budgets[engine];
        let home = self.views[region].assignments.home(&budget.upstream)?;
        self.daemons.iter().position(|other| other.name == *home)
    }

    /// Forwards a request from one daemon to another.
    pub(super) fn forward(&mut self, from: usize, to: usize, request: usize) {
        let bytes = self.requests[request].body_bytes;
        let at_us = self
            .send(from, to, bytes)
            .unwrap_or(self.now_us + CONNECTION_TIMEOUT_US);
        let submit = Event::Submit {
            daemon: to,
            request,
            forwarded: true,
        };
        self.timeline.add(at_us, submit);
    }

    /// Hedges or migrates an urgent request that has no token yet: one that runs gets a second
    /// copy, one that is queued moves to another daemon of the region.
    pub(super) fn hedge_or_migrate(&mut self, job: usize) {
        let JobInfo {
            request,
            daemon,
            attempt,
            live,
        } = self.jobs[job];
        if !live
            || self.records[request].first_token_us.is_some()
            || self.records[request].is_closed()
        {
            return;
        }
        if attempt.is_some() && self.setup.hedge_us > 0 {
            if self.counts.copies * URGENT_REQUESTS_PER_COPY < self.urgent_requests {
                self.counts.copies += 1;
                self.submit(daemon, request, true);
            }
        } else if attempt.is_none() && self.setup.migrate_us > 0 {
            let count = self.daemons.len();
            let region = self.daemons[daemon].region;
            let is_target =
                |other: &usize| self.daemons[*other].up && self.daemons[*other].region == region;
            // Successive migrations go to different daemons.
            let skip = usize::try_from(self.counts.copies).unwrap_or(0) % count;
            let mut others = (0..count).map(|step| (daemon + 1 + skip + step) % count);
            if let Some(to) = others.find(is_target) {
                self.counts.copies += 1;
                self.cancel_job(job);
                self.live_jobs[request].retain(|&other| other != job);
                self.forward(daemon, to, request);
            }
        }
    }
}
