//! Metric families of the daemon.
//!
//! [`Metrics`] counts what the users measure: attainment by class, goodput and wasted tokens,
//! time to first token, gaps, sheds by code, retries. Counters are atomics, so that threads on the
//! path of a request never wait for each other. [`Metrics::encode`] writes the text form.
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
#[cfg(test)]
mod tests;

pub use self::{
    attainment::Attainment,
    gauges::Gauges,
    labels::{ClassLabel, CodeLabel, TierLabel, WasteLabel},
    metrics::Metrics,
};
