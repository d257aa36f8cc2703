//! Label sets of the metric families. Names of fields are label names.

use prometheus_client::encoding::EncodeLabelSet;

/// Label with the service class.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ClassLabel {
    /// Name of the class.
    pub class: String,
}

/// Label with the tier.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct TierLabel {
    /// Tier; 0 is the highest.
    pub tier: u32,
}

/// Labels of a result code.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CodeLabel {
    /// Number of the code.
    pub code: u32,
    /// Name of the code.
    pub name: &'static str,
}

/// Label with what is held for callers.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct KindLabel {
    /// Name of the kind.
    pub kind: &'static str,
}

/// Labels of memory that was not granted.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ShortageLabel {
    /// Name of the kind.
    pub kind: &'static str,
    /// Why: `full`, `share` or `too_large`.
    pub reason: &'static str,
}

/// Label with the reason why a connection was closed.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ReasonLabel {
    /// Name of the reason.
    pub reason: &'static str,
}

/// Labels of tokens whose response was not completed.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct WasteLabel {
    /// Name of the class.
    pub class: String,
    /// Why the response is incomplete: `caller_left` or `broken`.
    pub cause: &'static str,
}

/// Labels of the number of upstreams of a service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct UpstreamCountLabel {
    /// Name of the service.
    pub service: String,
    /// Kind of the upstreams: `lasting` or `reclaimable`.
    pub kind: &'static str,
    /// What is counted: `desired`, `live`, `starting` or `leaving`.
    pub state: &'static str,
}

/// Labels of the orders of upstreams for a service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct UpstreamOrderLabel {
    /// Name of the service.
    pub service: String,
    /// Kind of the upstreams: `lasting` or `reclaimable`.
    pub kind: &'static str,
    /// Result of the call.
    pub result: &'static str,
}

/// Labels of a call that one daemon of the fleet makes at a time.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct DutyCallLabel {
    /// Duty.
    pub duty: &'static str,
    /// Result of the call.
    pub result: &'static str,
}

/// Label of a window of the usage reports.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct WindowLabel {
    /// Outcome: `reported` or `missed`.
    pub outcome: &'static str,
}

/// Label of complaints about upstreams that can't be reached.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ComplaintLabel {
    /// What happened: `told`, `heard`, `followed` or `lapsed`.
    pub event: &'static str,
}
