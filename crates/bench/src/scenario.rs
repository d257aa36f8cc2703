//! Scenarios: demand and faults of a run.

use std::str::FromStr;

use crate::deployment::Deployment;

/// Demand and faults of one run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Scenario {
    /// Demand rises to twice the capacity.
    Crest,
    /// Demand below the capacity, no fault.
    Steady,
    /// One client account sends ten times its usual demand.
    BurstAccount,
    /// Long prompts and answers next to short ones.
    LongShort,
    /// A quarter of the engines slows down for seconds.
    Stragglers,
    /// Most callers disconnect before their answer is complete.
    Abandon,
    /// Engines crash and restart empty.
    EngineCrash,
    /// The link between the regions fails.
    RegionCut,
    /// Daemons crash, restart and pause.
    HostChurn,
}

impl Scenario {
    const ALL: [(Self, &'static str); 9] = [
        (Self::Crest, "crest"),
        (Self::Steady, "steady"),
        (Self::BurstAccount, "burst-account"),
        (Self::LongShort, "long-short"),
        (Self::Stragglers, "stragglers"),
        (Self::Abandon, "abandon"),
        (Self::EngineCrash, "engine-crash"),
        (Self::RegionCut, "region-cut"),
        (Self::HostChurn, "host-churn"),
    ];

    /// Returns the name on the command line.
    pub(crate) fn name(self) -> &'static str {
        let found = Self::ALL.iter().find(|(scenario, _)| *scenario == self);
        found.map_or("", |(_, name)| name)
    }

    /// Returns the deployment used unless the command line names one.
    pub(crate) const fn deployment(self) -> Deployment {
        match self {
            Self::LongShort | Self::Abandon => Deployment::Fliperama,
            _ => Deployment::GrifoComun,
        }
    }

    /// Returns the demand of each class at a simulated time, as a share of the capacity.
    pub(crate) const fn demand(self, at_us: u64) -> [f64; 3] {
        match self {
            // The demand rises from half to twice the capacity within a second.
            Self::Crest if at_us >= 5_000_000 => [0.6, 0.7, 0.7],
            Self::Crest => [0.2, 0.15, 0.15],
            Self::LongShort => [0.25, 0.15, 0.5],
            Self::Steady | Self::BurstAccount => [0.3, 0.25, 0.15],
            Self::Stragglers
            | Self::Abandon
            | Self::EngineCrash
            | Self::RegionCut
            | Self::HostChurn => [0.25, 0.2, 0.15],
        }
    }

    /// Returns the age of the engines' load reports.
    pub(crate) const fn report_age_us(self) -> u64 {
        match self {
            Self::Stragglers => 5_000_000,
            _ => 1_000_000,
        }
    }

    /// Returns the share of callers that disconnect before their answer is complete.
    pub(crate) const fn disconnect_share(self) -> f64 {
        match self {
            Self::Abandon => 0.6,
            _ => 0.05,
        }
    }
}

impl FromStr for Scenario {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = Self::ALL.iter().find(|(_, name)| *name == text);
        let found = found.map(|(scenario, _)| *scenario);
        found.ok_or_else(|| format!("unknown scenario {text}"))
    }
}
