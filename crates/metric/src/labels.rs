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

/// Labels of tokens whose response was not completed.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct WasteLabel {
    /// Name of the class.
    pub class: String,
    /// Why the response is incomplete: `caller_left` or `broken`.
    pub cause: &'static str,
}

/// Label of complaints about upstreams that can't be reached.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ComplaintLabel {
    /// What happened: `told`, `heard`, `followed` or `lapsed`.
    pub event: &'static str,
}
