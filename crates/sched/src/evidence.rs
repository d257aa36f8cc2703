//! Evidence about the reachability of upstreams, exchanged with the other daemons.

use std::sync::Arc;

use health::{Message, Symptom};

use crate::Dispatcher;

impl Dispatcher {
    /// Records why an attempt at the instance of an upstream that started at `started_ms` failed:
    /// nothing had come from it for `silent_us`.
    pub fn record_symptom(
        &mut self,
        now_us: u64,
        upstream: &str,
        started_ms: Option<u64>,
        symptom: Symptom,
        silent_us: u64,
    ) {
        self.pool
            .record_symptom(now_us, upstream, started_ms, symptom, silent_us);
    }

    /// Returns whether this daemon has something to tell the others about upstreams.
    #[must_use]
    pub fn has_complaints(&self) -> bool {
        self.pool.has_complaints()
    }

    /// Returns what this daemon tells the others about upstreams, if there is anything.
    pub fn take_complaints(&mut self, now_us: u64) -> Option<Message> {
        self.pool.take_complaints(now_us)
    }

    /// Weighs what another daemon tells about upstreams; returns those that get no work because of
    /// it.
    pub fn receive_complaints(
        &mut self,
        now_us: u64,
        from: &str,
        message: &Message,
    ) -> Vec<Arc<str>> {
        self.pool.receive_complaints(now_us, from, message)
    }

    /// Forgets complaints of other daemons that have lapsed; returns their number.
    pub fn expire_complaints(&mut self, now_us: u64) -> usize {
        self.pool.expire_complaints(now_us)
    }
}
