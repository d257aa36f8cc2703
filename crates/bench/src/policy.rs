//! Scheduling policies that can be compared.

use std::str::FromStr;

/// How jobs are queued and how daemons share the slots of upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Policy {
    /// Baseline: first in, first out at each daemon, round robin over the upstreams.
    Fifo,
    /// Baseline: first in, first out, the upstream with the fewest outstanding requests by its
    /// delayed load reports.
    Least,
    /// Each daemon uses the slots divided by the number of live daemons.
    EqualSplit,
    /// Jobs are forwarded to the home daemon of an upstream, which alone uses its slots.
    Home,
    /// The home daemon of an upstream grants its slots to the daemons.
    Grant,
}

impl Policy {
    /// Policy of the production daemon.
    pub(crate) const DEFAULT: Self = Self::Grant;

    /// Returns the name on the command line.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Fifo => "fifo",
            Self::Least => "least",
            Self::EqualSplit => "alone",
            Self::Home => "home",
            Self::Grant => "grant",
        }
    }

    /// Returns whether the policy uses a baseline scheduler instead of the dispatcher.
    pub(crate) const fn is_baseline(self) -> bool {
        matches!(self, Self::Fifo | Self::Least)
    }
}

impl FromStr for Policy {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let all = [
            Self::Fifo,
            Self::Least,
            Self::EqualSplit,
            Self::Home,
            Self::Grant,
        ];
        if text == "default" {
            return Ok(Self::DEFAULT);
        }
        let found = all.into_iter().find(|policy| policy.name() == text);
        found.ok_or_else(|| format!("unknown policy {text}"))
    }
}
