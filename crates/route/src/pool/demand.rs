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
        let daemons = self.live_daemons.max(1);
        let heard = (self.heard_share * f64::from(daemons - 1)).round();
        (engines > 0).then(|| EngineDemand {
            engines,
            prefill_share: load.prefill_share,
            slot_share: load.running / load.slots.max(1.0),
            daemons,
            known_daemons: whole(heard) + 1,
        })
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the number lies between 0 and that of the daemons"
)]
const fn whole(number: f64) -> u32 {
    number as u32
}
