//! Metric families of the daemon.
//!
//! [`Metrics`] counts attainment by class, goodput and wasted tokens, time to first token, gaps
//! between tokens, refusals by code and retries. Counters are atomics, so threads that serve
//! requests never wait for each other. [`Metrics::encode`] writes the Prometheus text format.
//!
//! ```
//! let metrics = metric::Metrics::default();
//! metrics.record_complete("urgent", metric::Attainment::Met, 12);
//! assert!(metrics.encode(&metric::Gauges::default()).contains("goodput_tokens_total"));
//! ```

mod attainment;
mod gauges;
mod labels;
mod metrics;
mod reuse;
#[cfg(test)]
mod tests;

pub use self::{
    attainment::Attainment,
    gauges::Gauges,
    labels::{
        ClassLabel, CodeLabel, ComplaintLabel, DutyCallLabel, KindLabel, ReasonLabel,
        ShortageLabel, TierLabel, UpstreamCountLabel, UpstreamOrderLabel, WasteLabel, WindowLabel,
    },
    metrics::Metrics,
    reuse::ReuseFigures,
};
