use std::sync::Arc;

/// How this daemon judges an upstream, for metrics and operators.
#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamStatus {
    /// Name of the upstream.
    pub upstream: Arc<str>,
    /// Share of its normal work that it gets, 0 to 1; 0 while it is ejected.
    pub weight: f64,
    /// Observed times over the median of its peers; 1 is normal.
    pub slowdown: f64,
    /// Whether it gets only probes.
    pub ejected: bool,
    /// Jobs that this daemon runs on it.
    pub outstanding: u32,
}
