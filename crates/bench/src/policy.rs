use std::str::FromStr;

/// How jobs are queued and upstreams shared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Policy {
    /// Baseline: each daemon first in, first out, round robin.
    Fifo,
    /// Baseline: first in, first out, least outstanding by lagged reports.
    Least,
    /// Slots divided by the number of live daemons.
    Alone,
    /// Jobs forwarded to the home of an upstream.
    Home,
    /// Grants of slots by the home of an upstream.
    Grant,
}

impl Policy {
    /// The one that the daemon uses.
    pub(crate) const DEFAULT: Self = Self::Grant;

    /// Returns the name on the command line.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Fifo => "fifo",
            Self::Least => "least",
            Self::Alone => "alone",
            Self::Home => "home",
            Self::Grant => "grant",
        }
    }

    /// Returns whether the policy is a baseline of this tool.
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
            Self::Alone,
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
