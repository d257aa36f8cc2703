//! JSON output of a run.

use serde::Serialize;

/// Results of one run.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Report {
    pub(crate) scenario: &'static str,
    pub(crate) policy: &'static str,
    pub(crate) seed: u64,
    pub(crate) classes: Vec<ClassReport>,
    pub(crate) goodput_tokens_per_s: f64,
    pub(crate) wasted_tokens_ratio: f64,
    pub(crate) tier_inversions: u64,
    pub(crate) short_behind_long_p99_ms: f64,
    pub(crate) shed: [u64; 3],
    pub(crate) starved: u64,
    pub(crate) control_bytes_per_s_per_daemon: f64,
}

/// Results of one class.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct ClassReport {
    pub(crate) class: String,
    pub(crate) tier: u8,
    pub(crate) attainment: f64,
    pub(crate) ttft_p95_ms: f64,
}
