use emulator::{DeploymentSpec, RequestKind};
use settings::{
    Account, Config, EngineCapacity, Honours, Service, Upstream, UpstreamKind, UpstreamLifecycle,
};

use crate::{arrival::Arrival, deployment::Deployment, options::Options, policy::Policy};

/// Availability zones; the last one is in a region of its own, as on the users' sheets.
pub(super) const ZONES: usize = 3;

/// What troubles a day.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Trouble {
    /// Nothing.
    Calm,
    /// The middle third has three times the usual demand.
    Crest,
    /// A quarter of the engines crash in the middle and return empty.
    Crash,
}

impl Trouble {
    /// Returns the trouble of a scenario's name.
    pub(crate) fn by_name(name: &str) -> Option<Self> {
        match name {
            "day" => Some(Self::Calm),
            "day-crest" => Some(Self::Crest),
            "day-crash" => Some(Self::Crash),
            _ => None,
        }
    }
}

/// Everything that determines a day.
#[derive(Debug, Clone)]
pub(crate) struct DaySetup {
    pub(crate) sheet: DeploymentSpec,
    pub(crate) trouble: Trouble,
    pub(crate) policy: Policy,
    pub(crate) arrival: Arrival,
    pub(crate) seed: u64,
    pub(crate) daemons: usize,
    pub(crate) engines: usize,
    /// Factor on the demand of the sheet, beyond that for the number of engines.
    pub(crate) load: f64,
    /// Time of the last arrival.
    pub(crate) end_us: u64,
}

impl DaySetup {
    /// Completes the options by the figures of a sheet.
    pub(crate) fn new(trouble: Trouble, options: &Options) -> Self {
        let mut sheet = match options.deployment {
            Some(Deployment::Fliperama) => DeploymentSpec::fnf_rotas(),
            _ => DeploymentSpec::grifo_comun(),
        };
        // Only requests to engines are simulated.
        sheet.requests.retain(|mix| mix.kind == RequestKind::Stream);
        let daemons = options.daemons.max(1);
        let engines = (sheet.engines * daemons / 6).max(1);
        Self {
            trouble,
            policy: options.policy,
            arrival: options.arrival,
            seed: options.seed,
            daemons,
            engines: options.upstreams.unwrap_or(engines),
            load: f64::from(options.load_percent) / 100.0,
            end_us: options.seconds * 1_000_000,
            sheet,
        }
    }

    /// Returns the requests a second of a kind at a time.
    pub(super) fn per_s(&self, mix: usize, at_us: u64) -> f64 {
        let third_us = self.end_us / 3;
        let crest = self.trouble == Trouble::Crest && (third_us..2 * third_us).contains(&at_us);
        let scale = crate::number::ratio(self.engines as u64, self.sheet.engines as u64);
        let factor = if crest { 3.0 } else { 1.0 };
        self.sheet.requests[mix].requests_per_s * self.load * scale * factor
    }

    /// Returns the longest time that a caller waits.
    pub(super) fn longest_us(&self) -> u64 {
        let deadlines = self.sheet.requests.iter().map(|mix| mix.deadline_ms);
        deadlines.max().unwrap_or(0) * 1_000
    }
}

/// Returns the region of an availability zone.
pub(super) const fn region(zone: usize) -> usize {
    if zone + 1 == ZONES { 1 } else { 0 }
}

/// Returns the configuration of a day.
pub(super) fn config(setup: &DaySetup) -> Config {
    let sheet = &setup.sheet;
    let upstreams = (0..setup.engines).map(|index| {
        let zone = index % ZONES;
        Upstream {
            name: format!("engine-{index:04}"),
            kind: UpstreamKind::Service,
            address: ([127, 0, 0, 1], 1).into(),
            region: format!("region-{}", region(zone)),
            zone: format!("zone-{zone}"),
            models: Vec::new(),
            service: sheet.engine_service.to_owned(),
            slots: u32::try_from(sheet.profile.slots).unwrap_or(u32::MAX),
            honours: Honours {
                priority: true,
                resume: true,
                fencing: false,
            },
            state: UpstreamLifecycle::Live,
            engine: None,
            started_ms: None,
        }
    });
    let accounts = (0..sheet.accounts).map(|account| Account {
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
            name: sheet.engine_service.to_owned(),
            answer_max_ms: u64::MAX,
            non_idempotent: Vec::new(),
            engine: Some(EngineCapacity {
                cache_tokens: sheet.profile.kv_capacity_tokens.unwrap_or(0),
            }),
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
