//! Daemons of the simulation.

use std::sync::Arc;

use grant::{Holder, Home};
use sched::{Dispatcher, Locality};

use crate::{baseline::Baseline, policy::Policy, scheduler::Scheduler, slot_usage::SlotUsage};

/// Simulated daemon: its scheduler, its grant state and its availability.
pub(crate) struct Daemon {
    pub(crate) name: Arc<str>,
    pub(crate) locality: Locality,
    pub(crate) region: usize,
    /// Relative share of its region's callers.
    pub(crate) weight: f64,
    pub(crate) up: bool,
    /// Start of the last pause.
    pub(crate) paused_at_us: u64,
    /// End of the last pause.
    pub(crate) paused_until_us: u64,
    /// Time of the last timer tick.
    pub(crate) ticked_us: u64,
    /// Engine from which the search for the next home to forward to begins.
    pub(crate) next_engine: usize,
    /// Number of process starts, which distinguishes a restarted daemon from its predecessor.
    pub(crate) incarnation: u32,
    /// Slots that its attempts hold at each engine.
    pub(crate) slot_usage: Vec<SlotUsage>,
    pub(crate) scheduler: Box<dyn Scheduler>,
    pub(crate) holder: Holder,
    pub(crate) home: Home,
}

impl Daemon {
    /// Creates a running daemon without a configuration.
    pub(crate) fn new(
        name: &str,
        locality: Locality,
        region: usize,
        weight: f64,
        policy: Policy,
        engines: usize,
    ) -> Self {
        Self {
            name: name.into(),
            scheduler: scheduler(policy, &locality),
            locality,
            region,
            weight,
            up: true,
            paused_at_us: 0,
            paused_until_us: 0,
            ticked_us: 0,
            next_engine: 0,
            incarnation: 1,
            slot_usage: vec![SlotUsage::default(); engines],
            holder: Holder::new(name),
            home: Home::new(name, 1),
        }
    }

    /// Starts the daemon again with empty state, as a new process does.
    pub(crate) fn restart(&mut self, policy: Policy) {
        self.incarnation += 1;
        self.up = true;
        self.slot_usage.fill(SlotUsage::default());
        self.scheduler = scheduler(policy, &self.locality);
        self.holder = Holder::new(&self.name);
        self.home = Home::new(&self.name, self.incarnation);
    }
}

/// Creates the scheduler of a policy.
fn scheduler(policy: Policy, locality: &Locality) -> Box<dyn Scheduler> {
    match policy {
        Policy::Fifo => Box::new(Baseline::new(false)),
        Policy::Least => Box::new(Baseline::new(true)),
        Policy::EqualSplit | Policy::Home | Policy::Grant => {
            Box::new(Dispatcher::new(locality.clone()))
        }
    }
}
