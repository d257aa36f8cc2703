//! Engines of the simulation.

use std::sync::Arc;

use batch::{BatchEngine, Event, Profile};
use sched::{LoadReport, Locality};

use crate::slot_usage::SlotUsage;

/// Simulated engine: the batching model and its availability.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) name: Arc<str>,
    pub(crate) locality: Locality,
    pub(crate) batch: BatchEngine,
    pub(crate) up: bool,
    /// Number of crashes; the end of a step that began before a crash is ignored.
    pub(crate) epoch: u32,
    /// Output of the step in progress, delivered at its end.
    pub(crate) step: Option<Vec<Event>>,
    /// Slots that attempts hold here by the daemons' count.
    pub(crate) slot_usage: SlotUsage,
}

impl Engine {
    /// Creates an idle engine.
    pub(crate) fn new(name: &str, locality: Locality, slots: u32, honours_priority: bool) -> Self {
        let profile = Profile::default()
            .with_slots(slots as usize)
            .with_priority(honours_priority);
        Self {
            name: name.into(),
            locality,
            batch: BatchEngine::new(profile),
            up: true,
            epoch: 0,
            step: None,
            slot_usage: SlotUsage::default(),
        }
    }

    /// Returns the load report of this moment.
    pub(crate) fn load(&self) -> LoadReport {
        let count = |value: usize| u32::try_from(value).unwrap_or(u32::MAX);
        LoadReport {
            running: count(self.batch.running()),
            waiting: count(self.batch.waiting()),
            cache_used_permille: 0,
        }
    }
}
