//! Callers and the load balancer.

use crate::{
    daemon::Daemon,
    event::Event,
    network::CALLER_DELAY_US,
    request::Request,
    simulation::{BALANCER_DELAY_US, CALLER_RETRY_US, Simulation},
};

impl Simulation {
    /// Sends a request to the daemon that the load balancer chooses, or retries if there is none.
    pub(super) fn arrive(&mut self, request: usize) {
        if self.records[request].is_closed() {
            return;
        }
        let Some(daemon) = self.choose_daemon(request) else {
            self.timeline
                .add(self.now_us + CALLER_RETRY_US, Event::Arrive { request });
            return;
        };
        self.origins[request] = daemon;
        self.records[request].sent_us = self.now_us;
        let submit = Event::Submit {
            daemon,
            request,
            forwarded: false,
        };
        self.timeline.add(self.now_us + CALLER_DELAY_US, submit);
    }

    /// Chooses a daemon as the platform's load balancer does: in the caller's region if one is
    /// available there, in proportion to the weights.
    pub(super) fn choose_daemon(&self, request: usize) -> Option<usize> {
        let Request {
            region,
            balancer_position,
            ..
        } = self.requests[request];
        let accepts = |daemon: &Daemon| {
            let pause_detected = self.now_us >= daemon.paused_at_us + BALANCER_DELAY_US;
            daemon.up && !(pause_detected && daemon.paused_until_us > self.now_us)
        };
        let in_region = |daemon: &Daemon| accepts(daemon) && daemon.region == region;
        let any_in_region = self.daemons.iter().any(in_region);
        let is_candidate = |daemon: &Daemon| {
            if any_in_region {
                in_region(daemon)
            } else {
                accepts(daemon)
            }
        };
        let candidates = || {
            let daemons = self.daemons.iter().enumerate();
            daemons.filter(|(_, daemon)| is_candidate(daemon))
        };
        let sum: f64 = candidates().map(|(_, daemon)| daemon.weight).sum();
        let mut left = balancer_position * sum;
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

    /// Disconnects a caller that has the tokens it wants, or that has no first token in time.
    pub(super) fn disconnect_caller(&mut self, request: usize) {
        let record = &mut self.records[request];
        let leaves = self.requests[request]
            .disconnect_after_tokens
            .is_some_and(|tokens| record.received_tokens >= tokens);
        if record.is_closed() || (record.first_token_us.is_some() && !leaves) {
            return;
        }
        record.disconnected_us = Some(self.now_us);
        self.open_requests -= 1;
        self.timeline.add(
            self.now_us + CALLER_DELAY_US,
            Event::DisconnectArrived { request },
        );
    }

    /// Cancels the jobs of a request whose caller has disconnected.
    pub(super) fn handle_disconnect(&mut self, request: usize) {
        for job in std::mem::take(&mut self.live_jobs[request]) {
            self.cancel_job(job);
        }
    }
}
