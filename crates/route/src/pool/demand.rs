//! Load of the whole fleet on the engines of a service.

use super::Pool;
use crate::EngineDemand;

impl Pool {
    /// Returns the load on the engines that provide a service, as last estimated from what the
    /// daemons announced; `None` if no live engine provides it.
    #[must_use]
    pub fn engine_demand(&self, service: &str) -> Option<EngineDemand> {
        let provides = |key: &(bool, Vec<String>)| key.0 && key.1 == [service];
        let number = self
            .cohorts
            .iter()
            .position(|cohort| provides(&cohort.key))?;
        let engines = self.members.iter().filter(|member| {
            member.cohort as usize == number && member.is_live() && member.settings.engine.is_some()
        });
        let engines = u32::try_from(engines.count()).unwrap_or(u32::MAX);
        let load = self.cohorts[number].mean_load;
        (engines > 0).then(|| EngineDemand {
            engines,
            prefill_share: load.prefill_share,
            slot_share: load.running / load.slots.max(1.0),
            heard_share: if self.live_daemons <= 1 {
                1.0
            } else {
                self.heard_share
            },
        })
    }
}
