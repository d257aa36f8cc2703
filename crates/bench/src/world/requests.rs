//! Requests at a daemon.

use sched::{Job, JobId, JobPolicy, Target};

use crate::{
    deployment::{ACCOUNTS, MODEL},
    event::Event,
    job_info::JobInfo,
    network::CLIENT_US,
    policy::Policy,
    world::{COPY_ONE_IN, RETRY_US, SILENCE_US, World, index_of},
};

impl World {
    pub(super) fn submit(&mut self, daemon: usize, request: usize, forwarded: bool) {
        if self.fates[request].is_closed() {
            return;
        }
        if !self.daemons[daemon].up {
            let again = if forwarded {
                Event::Submit {
                    daemon: self.origins[request],
                    request,
                    forwarded: false,
                }
            } else {
                Event::Arrive { request }
            };
            self.timeline.add(self.now_us + RETRY_US, again);
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
        self.live[request].push(index_of(id));
        let job = self.job(id, request);
        if job.tier == 0 && !forwarded {
            self.urgent += 1;
            let pause_us = self.setup.hedge_us.max(self.setup.migrate_us);
            if pause_us > 0 {
                self.timeline
                    .add(self.now_us + pause_us, Event::Late { job: id });
            }
        }
        self.act(daemon, |scheduler, now_us, actions| {
            scheduler.submit(now_us, job, actions);
        });
    }

    pub(super) fn job(&self, id: JobId, request: usize) -> Job {
        let wanted = &self.requests[request];
        let class = &self.classes[wanted.class].class;
        Job {
            id,
            account: ACCOUNTS[wanted.account].0.into(),
            class: class.name.as_str().into(),
            tier: class.tier,
            target: Target::Model(MODEL.into()),
            prompt_tokens: wanted.prompt_tokens,
            max_tokens: 0,
            body_bytes: wanted.body_bytes,
            prefix_hash: wanted.prefix,
            deadline_us: self.fates[request].sent_us + CLIENT_US + class.max_wait_ms * 1_000,
            idempotent: true,
            prompt: [].into(),
            policy: JobPolicy::default(),
        }
    }

    /// Returns the home of the next engine in the daemon's own region.
    pub(super) fn next_home(&mut self, daemon: usize) -> Option<usize> {
        let region = self.daemons[daemon].region;
        let count = self.engines.len();
        let start = self.daemons[daemon].next_engine;
        let near = (0..count)
            .map(|step| (start + step) % count)
            .find(|&engine| {
                self.engines[engine].place.region == self.daemons[daemon].place.region
            })?;
        self.daemons[daemon].next_engine = near + 1;
        let budget = &self.budgets[near];
        let home = self.views[region].plan.home(&budget.upstream)?;
        self.daemons.iter().position(|other| other.name == *home)
    }

    pub(super) fn forward(&mut self, from: usize, to: usize, request: usize) {
        let bytes = self.requests[request].body_bytes;
        let at_us = self
            .send(from, to, bytes)
            .unwrap_or(self.now_us + SILENCE_US);
        let submit = Event::Submit {
            daemon: to,
            request,
            forwarded: true,
        };
        self.timeline.add(at_us, submit);
    }

    /// Copies or moves an urgent request that has no token yet.
    pub(super) fn late(&mut self, job: usize) {
        let JobInfo {
            request,
            daemon,
            attempt,
            live,
        } = self.jobs[job];
        if !live || self.fates[request].first_us.is_some() || self.fates[request].is_closed() {
            return;
        }
        if attempt.is_some() && self.setup.hedge_us > 0 {
            if self.counts.copies * COPY_ONE_IN < self.urgent {
                self.counts.copies += 1;
                self.submit(daemon, request, true);
            }
        } else if attempt.is_none() && self.setup.migrate_us > 0 {
            let count = self.daemons.len();
            let region = self.daemons[daemon].region;
            let fits =
                |other: &usize| self.daemons[*other].up && self.daemons[*other].region == region;
            // Each move takes another neighbour.
            let skip = usize::try_from(self.counts.copies).unwrap_or(0) % count;
            let mut others = (0..count).map(|step| (daemon + 1 + skip + step) % count);
            if let Some(to) = others.find(fits) {
                self.counts.copies += 1;
                self.cancel_job(job);
                self.live[request].retain(|&other| other != job);
                self.forward(daemon, to, request);
            }
        }
    }
}
