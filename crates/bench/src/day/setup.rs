//! Parameters and configuration of a run.

use emulator::{DeploymentSpec, RequestKind};
use settings::{
    Account, Config, EngineCapacity, Honours, Service, Upstream, UpstreamKind, UpstreamLifecycle,
};

use crate::{arrival::Arrival, deployment::Deployment, options::Options, policy::Policy};

/// Availability zones; the last one is in a separate region, as on the users' sites.
pub(super) const ZONES: usize = 3;

/// Demand and faults of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DayScenario {
    /// Usual demand and no fault.
    Normal,
    /// The middle third has three times the usual demand.
    Crest,
    /// A quarter of the engines crash in the middle and restart empty.
    Crash,
}

impl DayScenario {
    /// Returns the scenario with this name.
    pub(crate) fn by_name(name: &str) -> Option<Self> {
        match name {
            "day" => Some(Self::Normal),
            "day-crest" => Some(Self::Crest),
            "day-crash" => Some(Self::Crash),
            _ => None,
        }
    }
}

/// Parameters that determine a run completely.
#[derive(Debug, Clone)]
pub(crate) struct DaySetup {
    pub(crate) deployment: DeploymentSpec,
    pub(crate) scenario: DayScenario,
    pub(crate) policy: Policy,
    pub(crate) arrival: Arrival,
    pub(crate) seed: u64,
    pub(crate) daemons: usize,
    pub(crate) engines: usize,
    /// Factor on the demand of the deployment spec, in addition to that for the number of engines.
    pub(crate) load: f64,
    /// Time of the last arrival.
    pub(crate) end_us: u64,
}

impl DaySetup {
    /// Completes the options with the values of a deployment spec.
    pub(crate) fn new(scenario: DayScenario, options: &Options) -> Self {
        let mut deployment = match options.deployment {
            Some(Deployment::Fliperama) => DeploymentSpec::fnf_rotas(),
            _ => DeploymentSpec::grifo_comun(),
        };
        // Only requests to engines are simulated.
        deployment
            .requests
            .retain(|spec| spec.kind == RequestKind::Stream);
        let daemons = options.daemons.max(1);
        let engines = (deployment.engines * daemons / 6).max(1);
        Self {
            scenario,
            policy: options.policy,
            arrival: options.arrival,
            seed: options.seed,
            daemons,
            engines: options.upstreams.unwrap_or(engines),
            load: f64::from(options.load_percent) / 100.0,
            end_us: options.seconds * 1_000_000,
            deployment,
        }
    }

    /// Returns the request rate of a request spec at a time.
    pub(super) fn requests_per_s(&self, spec: usize, at_us: u64) -> f64 {
        let third_us = self.end_us / 3;
        let crest =
            self.scenario == DayScenario::Crest && (third_us..2 * third_us).contains(&at_us);
        let scale = crate::number::ratio(self.engines as u64, self.deployment.engines as u64);
        let factor = if crest { 3.0 } else { 1.0 };
        self.deployment.requests[spec].requests_per_s * self.load * scale * factor
    }

    /// Returns the longest time from arrival to deadline.
    pub(super) fn longest_deadline_us(&self) -> u64 {
        let deadlines = self.deployment.requests.iter().map(|spec| spec.deadline_ms);
        deadlines.max().unwrap_or(0) * 1_000
    }
}

/// Returns the region of an availability zone.
pub(super) const fn region_of_zone(zone: usize) -> usize {
    if zone + 1 == ZONES { 1 } else { 0 }
}

/// Returns the configuration of a run.
pub(super) fn config(setup: &DaySetup) -> Config {
    let deployment = &setup.deployment;
    let upstreams = (0..setup.engines).map(|index| {
        let zone = index % ZONES;
        Upstream {
            name: format!("engine-{index:04}"),
            kind: UpstreamKind::Service,
            address: ([127, 0, 0, 1], 1).into(),
            region: format!("region-{}", region_of_zone(zone)),
            zone: format!("zone-{zone}"),
            models: Vec::new(),
            service: deployment.engine_service.to_owned(),
            slots: u32::try_from(deployment.profile.slots).unwrap_or(u32::MAX),
            honours: Honours {
                priority: true,
                resume: true,
                fencing: false,
            },
            state: UpstreamLifecycle::Live,
            engine: None,
            started_ms: None,
            reclaimable: false,
        }
    });
    let accounts = (0..deployment.accounts).map(|account| Account {
        name: account_name(account),
        key_sha256: Vec::new(),
        default_class: String::new(),
        classes: Vec::new(),
        requests_per_s: u32::MAX,
        requests_in_flight: u32::MAX,
        tokens_in_flight: u64::MAX,
        weight: 1,
        tier: None,
    });
    let mut config = Config {
        version: 1,
        accounts: accounts.collect(),
        upstreams: upstreams.collect(),
        services: vec![Service {
            name: deployment.engine_service.to_owned(),
            answer_max_ms: u64::MAX,
            non_idempotent: Vec::new(),
            engine: Some(EngineCapacity {
                cache_tokens: deployment.profile.kv_capacity_tokens.unwrap_or(0),
                ..EngineCapacity::default()
            }),
            autoscaling: None,
        }],
        ..Config::default()
    };
    config.sort();
    config
}

/// Returns the name of a client account.
pub(super) fn account_name(account: usize) -> String {
    format!("account-{account}")
}
