use std::sync::Arc;

use grant::{Holder, Home};
use sched::{Dispatcher, Locality};

use crate::{baseline::Baseline, held::Held, policy::Policy, scheduler::Scheduler};

/// One daemon of the simulation.
pub(crate) struct Daemon {
    pub(crate) name: Arc<str>,
    pub(crate) place: Locality,
    pub(crate) region: usize,
    /// Share of its region's callers.
    pub(crate) weight: f64,
    pub(crate) up: bool,
    pub(crate) paused_at_us: u64,
    pub(crate) paused_until_us: u64,
    pub(crate) ticked_us: u64,
    /// Engine to whose home the next request is forwarded.
    pub(crate) next_engine: usize,
    pub(crate) starts: u32,
    /// Own attempts at each engine.
    pub(crate) held: Vec<Held>,
    pub(crate) scheduler: Box<dyn Scheduler>,
    pub(crate) holder: Holder,
    pub(crate) home: Home,
}

impl Daemon {
    /// Creates a daemon without configuration.
    pub(crate) fn new(
        name: &str,
        place: Locality,
        region: usize,
        weight: f64,
        policy: Policy,
        engines: usize,
    ) -> Self {
        Self {
            name: name.into(),
            scheduler: scheduler(policy, &place),
            place,
            region,
            weight,
            up: true,
            paused_at_us: 0,
            paused_until_us: 0,
            ticked_us: 0,
            next_engine: 0,
            starts: 1,
            held: vec![Held::default(); engines],
            holder: Holder::new(name),
            home: Home::new(name, 1),
        }
    }

    /// Loses all state, as a new process does.
    pub(crate) fn restart(&mut self, policy: Policy) {
        self.starts += 1;
        self.up = true;
        self.held.fill(Held::default());
        self.scheduler = scheduler(policy, &self.place);
        self.holder = Holder::new(&self.name);
        self.home = Home::new(&self.name, self.starts);
    }
}

fn scheduler(policy: Policy, place: &Locality) -> Box<dyn Scheduler> {
    match policy {
        Policy::Fifo => Box::new(Baseline::new(false)),
        Policy::Least => Box::new(Baseline::new(true)),
        Policy::Alone | Policy::Home | Policy::Grant => Box::new(Dispatcher::new(place.clone())),
    }
}
