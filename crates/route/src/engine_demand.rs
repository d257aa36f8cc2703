/// Load of the live engines that provide a service, from all daemons.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineDemand {
    /// Number of live engines.
    pub engines: u32,
    /// Mean share of its time that an engine needs for prompts; above 1 they pile up.
    pub prefill_share: f64,
    /// Mean share of its slots that an engine uses.
    pub slot_share: f64,
    /// Number of live daemons.
    pub daemons: u32,
    /// Number of daemons whose load is known, this one included; that of the others is estimated.
    pub known_daemons: u32,
}

impl EngineDemand {
    /// Returns the number of engines that the load would keep fully busy.
    #[must_use]
    pub fn busy_engines(&self) -> f64 {
        self.prefill_share.max(self.slot_share) * f64::from(self.engines)
    }
}
