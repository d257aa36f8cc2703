//! Reference deployments: regions, zones, engines, classes and client accounts.

use std::str::FromStr;

use settings::{Account, Config, Honours, Upstream, UpstreamKind, UpstreamLifecycle};

use crate::{
    class_mix::ClassMix,
    lengths::Lengths::{HeavyTail, Uniform},
    number::floor_to_u64,
};

/// Model that all engines of a deployment serve.
pub(crate) const MODEL: &str = "assistant";

/// Requests that an engine runs at once.
pub(crate) const SLOTS: u32 = 32;

/// Share of the slots that is reserved for the lowest tier.
pub(crate) const RESERVED_PERCENT: u32 = 5;

/// Rate limit of an account as a multiple of its usual demand; `crest` needs about 2.3.
const LIMIT_FACTOR: f64 = 4.0;

/// Lowest rate limit of an account, so that each daemon's share of it still admits a small burst.
const LIMIT_MIN_PER_S: u64 = 18;

/// Client accounts and their weights in the demand; the first three are large.
pub(crate) const ACCOUNTS: [(&str, u32); 10] = [
    ("account-0", 24),
    ("account-1", 18),
    ("account-2", 14),
    ("account-3", 8),
    ("account-4", 8),
    ("account-5", 7),
    ("account-6", 6),
    ("account-7", 6),
    ("account-8", 5),
    ("account-9", 4),
];

/// Reference deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Deployment {
    /// Four faucet distributors that operate jointly.
    GrifoComun,
    /// Pinball repair rounds.
    Fliperama,
}

impl Deployment {
    /// Returns the regions, the one with the most hosts first.
    pub(crate) const fn regions(self) -> [&'static str; 2] {
        match self {
            Self::GrifoComun => ["costa", "sierra"],
            Self::Fliperama => ["pernambuco", "ceara"],
        }
    }

    /// Returns the availability zones with the index of their region.
    pub(crate) const fn zones(self) -> [(&'static str, usize); 3] {
        match self {
            Self::GrifoComun => [("costa-norte", 0), ("costa-sur", 0), ("sierra-centro", 1)],
            Self::Fliperama => [("recife-a", 0), ("recife-b", 0), ("fortaleza-a", 1)],
        }
    }

    /// Returns the number of engines for six daemons.
    pub(crate) const fn engines(self) -> usize {
        match self {
            Self::GrifoComun => 12,
            Self::Fliperama => 9,
        }
    }

    /// Returns whether the engine with this index honours priorities.
    pub(crate) const fn honours_priority(self, engine: usize) -> bool {
        match self {
            Self::GrifoComun => true,
            Self::Fliperama => !engine.is_multiple_of(3),
        }
    }

    /// Returns the classes, by tier.
    pub(crate) fn classes(self) -> [ClassMix; 3] {
        match self {
            Self::GrifoComun => [
                ClassMix::new("tap", 0, [800, 80, 5_000])
                    .with_tokens(Uniform(200, 600), HeavyTail(40, 600))
                    .with_body(Uniform(40_000, 120_000))
                    .with_prefix(150),
                ClassMix::new("counter", 1, [3_000, 120, 15_000])
                    .with_tokens(Uniform(400, 1_600), HeavyTail(100, 2_000))
                    .with_prefix(300),
                ClassMix::new("catalogue", 2, [20_000, 250, 60_000])
                    .with_tokens(Uniform(3_000, 9_000), HeavyTail(250, 4_000))
                    .with_body(Uniform(20_000, 60_000)),
            ],
            Self::Fliperama => [
                ClassMix::new("quick", 0, [800, 80, 5_000])
                    .with_tokens(Uniform(100, 400), HeavyTail(30, 500))
                    .with_prefix(80),
                ClassMix::new("diagnosis", 1, [3_000, 120, 15_000])
                    .with_tokens(Uniform(600, 2_000), HeavyTail(150, 2_500))
                    .with_prefix(400),
                ClassMix::new("manual", 2, [20_000, 250, 60_000])
                    .with_tokens(Uniform(6_000, 16_000), HeavyTail(300, 5_000))
                    .with_body(Uniform(50_000, 200_000)),
            ],
        }
    }

    /// Returns the configuration of a fleet with this many engines.
    ///
    /// The accounts' rate limits are a multiple of their part of `steady_per_s`, the request rate
    /// of the scenario `steady`.
    pub(crate) fn config(self, engines: usize, steady_per_s: f64) -> Config {
        let classes = self.classes().map(|mix| mix.class).to_vec();
        let class_names: Vec<String> = classes.iter().map(|class| class.name.clone()).collect();
        let accounts = ACCOUNTS.iter().map(|&(name, weight)| Account {
            name: name.to_owned(),
            key_sha256: Vec::new(),
            default_class: class_names[0].clone(),
            classes: class_names.clone(),
            requests_per_s: limit_per_s(steady_per_s, weight),
            // Effectively unlimited: the bench measures scheduling, not these limits.
            requests_in_flight: 1_000_000,
            tokens_in_flight: 1_000_000_000_000,
            weight,
            tier: None,
        });
        let zones = self.zones();
        let upstreams = (0..engines).map(|index| {
            let (zone, region) = zones[index % zones.len()];
            Upstream {
                name: format!("engine-{index:04}"),
                kind: UpstreamKind::Model,
                address: ([127, 0, 0, 1], 1).into(),
                region: self.regions()[region].to_owned(),
                zone: zone.to_owned(),
                models: vec![MODEL.to_owned()],
                service: String::new(),
                slots: SLOTS,
                honours: Honours {
                    priority: self.honours_priority(index),
                    resume: true,
                    fencing: false,
                },
                state: UpstreamLifecycle::Live,
                engine: None,
                started_ms: None,
                reclaimable: false,
            }
        });
        let mut config = Config {
            version: 1,
            classes,
            accounts: accounts.collect(),
            upstreams: upstreams.collect(),
            ..Config::default()
        };
        config.sort();
        config
    }
}

/// Returns the rate limit of an account.
fn limit_per_s(steady_per_s: f64, weight: u32) -> u32 {
    let weights: u32 = ACCOUNTS.iter().map(|(_, weight)| weight).sum();
    let part_per_s = steady_per_s * f64::from(weight) / f64::from(weights);
    let limit_per_s = floor_to_u64(part_per_s * LIMIT_FACTOR).max(LIMIT_MIN_PER_S);
    u32::try_from(limit_per_s).unwrap_or(u32::MAX)
}

impl FromStr for Deployment {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "grifo-comun" => Ok(Self::GrifoComun),
            "fliperama" => Ok(Self::Fliperama),
            _ => Err(format!("unknown deployment {text}")),
        }
    }
}
