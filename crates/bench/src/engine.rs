use std::sync::Arc;

use batch::{BatchEngine, Event, Profile};
use sched::{LoadReport, Locality};

use crate::held::Held;

/// Fake engine: the batch model with its state in the simulation.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) name: Arc<str>,
    pub(crate) place: Locality,
    pub(crate) batch: BatchEngine,
    pub(crate) up: bool,
    /// Counts crashes, so that the end of a step before a crash is ignored.
    pub(crate) epoch: u32,
    /// What the step in progress will have produced at its end.
    pub(crate) step: Option<Vec<Event>>,
    /// Attempts that run or wait here, as the daemons count them.
    pub(crate) held: Held,
}

impl Engine {
    /// Creates an idle engine.
    pub(crate) fn new(name: &str, place: Locality, slots: u32, honours_priority: bool) -> Self {
        let profile = Profile::default()
            .with_slots(slots as usize)
            .with_priority(honours_priority);
        Self {
            name: name.into(),
            place,
            batch: BatchEngine::new(profile),
            up: true,
            epoch: 0,
            step: None,
            held: Held::default(),
        }
    }

    /// Returns the load that the engine reports.
    pub(crate) fn load(&self) -> LoadReport {
        let count = |value: usize| u32::try_from(value).unwrap_or(u32::MAX);
        LoadReport {
            running: count(self.batch.running()),
            waiting: count(self.batch.waiting()),
            cache_used_permille: 0,
        }
    }
}
