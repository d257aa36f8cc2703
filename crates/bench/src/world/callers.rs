//! Callers and the load balancer.

use crate::{
    daemon::Daemon,
    event::Event,
    network::CLIENT_US,
    request::Request,
    world::{BALANCER_LAG_US, RETRY_US, World},
};

impl World {
    pub(super) fn arrive(&mut self, request: usize) {
        if self.fates[request].is_closed() {
            return;
        }
        let Some(daemon) = self.balance(request) else {
            self.timeline
                .add(self.now_us + RETRY_US, Event::Arrive { request });
            return;
        };
        self.origins[request] = daemon;
        self.fates[request].sent_us = self.now_us;
        let submit = Event::Submit {
            daemon,
            request,
            forwarded: false,
        };
        self.timeline.add(self.now_us + CLIENT_US, submit);
    }

    /// Chooses a daemon as the platform's load balancer does.
    pub(super) fn balance(&self, request: usize) -> Option<usize> {
        let Request { region, spread, .. } = self.requests[request];
        let takes = |daemon: &Daemon| {
            let known = self.now_us >= daemon.paused_at_us + BALANCER_LAG_US;
            daemon.up && !(known && daemon.paused_until_us > self.now_us)
        };
        let near = |daemon: &Daemon| takes(daemon) && daemon.region == region;
        let any_near = self.daemons.iter().any(near);
        let fits = |daemon: &Daemon| {
            if any_near {
                near(daemon)
            } else {
                takes(daemon)
            }
        };
        let candidates = || {
            let daemons = self.daemons.iter().enumerate();
            daemons.filter(|(_, daemon)| fits(daemon))
        };
        let sum: f64 = candidates().map(|(_, daemon)| daemon.weight).sum();
        let mut left = spread * sum;
        let mut last = None;
        for (index, daemon) in candidates() {
            last = Some(index);
            left -= daemon.weight;
            if left < 0.0 {
                break;
            }
        }
        last
    }

    pub(super) fn leave(&mut self, request: usize) {
        let fate = &mut self.fates[request];
        let leaves = self.requests[request]
            .leave_after_tokens
            .is_some_and(|tokens| fate.received >= tokens);
        if fate.is_closed() || (fate.first_us.is_some() && !leaves) {
            return;
        }
        fate.left_us = Some(self.now_us);
        self.open -= 1;
        self.timeline
            .add(self.now_us + CLIENT_US, Event::Disconnect { request });
    }

    pub(super) fn disconnect(&mut self, request: usize) {
        for job in std::mem::take(&mut self.live[request]) {
            self.cancel_job(job);
        }
    }
}
