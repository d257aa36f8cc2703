use prometheus_client::encoding::EncodeLabelSet;

/// Label of a class of service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ClassLabel {
    /// Name of the class.
    pub class: String,
}

/// Label of a tier.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct TierLabel {
    /// Tier, 0 is the highest.
    pub tier: u32,
}

/// Label of a result code.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CodeLabel {
    /// Number of the code.
    pub code: u32,
    /// Name of the code.
    pub name: &'static str,
}

/// Label of tokens that were generated for nobody.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct WasteLabel {
    /// Name of the class.
    pub class: String,
    /// Why: `caller_left` or `broken`.
    pub cause: &'static str,
}
