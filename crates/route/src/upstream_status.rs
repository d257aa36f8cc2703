use std::sync::Arc;

/// This daemon's view of an upstream, for metrics and operators.
#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamStatus {
    /// Name of the upstream.
    pub upstream: Arc<str>,
    /// Share of normal work that it gets, 0 to 1; 0 while it is ejected.
    pub weight: f64,
    /// Ratio of its observed times to the median of its peers; 1 is normal.
    pub slowdown: f64,
    /// Whether it is ejected, so that it gets only probes.
    pub ejected: bool,
    /// Whether it gets no work because it can't be reached, while others of its kind can.
    pub is_down: bool,
    /// Jobs that this daemon runs on it.
    pub outstanding: u32,
}
