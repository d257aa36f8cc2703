//! Singleton duties of a deployment.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Calls to the platform's control service that only one daemon of the fleet may make at a time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Duties {
    /// Address of the control service.
    pub address: SocketAddr,
    /// Duties of this deployment, at least one.
    pub kinds: Vec<DutyKind>,
    /// Calls per second that the control service accepts from all daemons together.
    pub calls_per_s: f64,
    /// Length of a hold on the duties. Also the shortest time between two holds of a host, so that
    /// holders never alternate within it.
    pub lease_ms: u64,
    /// Time after a suspension or a cut of the network within which a late call of an earlier
    /// holder may still arrive.
    #[serde(default)]
    pub thaw_ms: u64,
    /// Whether the control service refuses calls with a stale fencing token.
    #[serde(default)]
    pub checks_tokens: bool,
    /// Usage reports; required if [`DutyKind::UsageReport`] is one of the duties.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<UsageWindows>,
}

/// Duty of one daemon at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DutyKind {
    /// Reports how many requests of each client account began to run.
    UsageReport,
    /// Orders the number of upstreams of each service and availability zone.
    Autoscale,
}

impl DutyKind {
    /// Returns the name in settings, logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::UsageReport => "usage_report",
            Self::Autoscale => "autoscale",
        }
    }
}

/// Windows of the usage reports. Window `k` begins `k * window_s` seconds after the Unix epoch.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UsageWindows {
    /// Length of a window.
    pub window_s: u64,
    /// Time after the end of a window by which it must be reported.
    pub late_s: u64,
    /// Largest accepted error of the count of an account, as a share of the true count.
    pub tolerance: f64,
}

impl Duties {
    /// Returns whether a duty is one of this deployment.
    #[must_use]
    pub fn has(&self, kind: DutyKind) -> bool {
        self.kinds.contains(&kind)
    }
}
