//! Parameters of a run.

use crate::{
    arrival::Arrival, deployment::Deployment, number::to_f64, options::Options, policy::Policy,
    scenario::Scenario,
};

/// Warm-up: requests that arrive before this time are not measured.
pub(crate) const WARM_UP_US: u64 = 5_000_000;

/// Parameters that determine a run completely.
#[derive(Debug, Clone)]
pub(crate) struct Setup {
    pub(crate) scenario: Scenario,
    pub(crate) policy: Policy,
    pub(crate) deployment: Deployment,
    pub(crate) arrival: Arrival,
    pub(crate) seed: u64,
    pub(crate) daemons: usize,
    pub(crate) engines: usize,
    /// Time of the last arrival.
    pub(crate) end_us: u64,
    /// Factor on the scenario's demand.
    pub(crate) load: f64,
    /// Delay after which an urgent request without a token is hedged, 0 for never.
    pub(crate) hedge_us: u64,
    /// Delay after which a queued urgent request is migrated, 0 for never.
    pub(crate) migrate_us: u64,
    pub(crate) no_limits: bool,
    pub(crate) no_faults: bool,
}

impl Setup {
    /// Completes the options with the defaults of the scenario.
    pub(crate) fn new(scenario: Scenario, options: &Options) -> Self {
        let deployment = options.deployment.unwrap_or(scenario.deployment());
        let daemons = options.daemons.max(1);
        let engines = (deployment.engines() * daemons / 6).max(1);
        Self {
            scenario,
            policy: options.policy,
            deployment,
            arrival: options.arrival,
            seed: options.seed,
            daemons,
            engines: options.upstreams.unwrap_or(engines),
            end_us: options.seconds * 1_000_000,
            load: f64::from(options.load_percent) / 100.0,
            hedge_us: options.hedge_ms * 1_000,
            migrate_us: options.migrate_ms * 1_000,
            no_limits: options.no_limits,
            no_faults: options.no_faults,
        }
    }

    /// Returns the factor by which the fleet is larger than the reference deployment.
    pub(crate) fn scale(&self) -> f64 {
        to_f64(self.engines as u64) / to_f64(self.deployment.engines() as u64)
    }
}
