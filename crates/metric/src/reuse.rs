//! Counters about the reuse of shared prompt parts.

use std::sync::atomic::Ordering;

use prometheus_client::{metrics::counter::Counter, registry::Registry};

/// Sums about the reuse of shared prompt parts, since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReuseFigures {
    /// Prompts sent with an engine to fetch cached parts from.
    pub fetches: u64,
    /// Tokens that they were expected to fetch.
    pub fetched_tokens: u64,
    /// Prompts whose time to first token showed whether shared parts were read.
    pub judged: u64,
    /// Number of them that were expected not to read the parts.
    pub expected: u64,
    /// Number of them that read the parts.
    pub missed: u64,
}

/// Counters that are set at each scrape.
#[derive(Debug, Default)]
pub(crate) struct ReuseCounters {
    fetches: Counter,
    fetched_tokens: Counter,
    judged: Counter,
    expected: Counter,
    missed: Counter,
}

impl ReuseCounters {
    pub(crate) fn register(&self, registry: &mut Registry) {
        let counters = [
            (
                "prompt_fetches",
                "Prompts sent with an engine to fetch cached parts from",
                &self.fetches,
            ),
            (
                "prompt_fetched_tokens",
                "Prompt tokens expected to be fetched",
                &self.fetched_tokens,
            ),
            (
                "prompt_reuse_judged",
                "Prompts whose first token showed whether shared parts were read",
                &self.judged,
            ),
            (
                "prompt_reuse_expected",
                "Judged prompts expected not to read shared parts",
                &self.expected,
            ),
            (
                "prompt_reuse_missed",
                "Judged prompts that read shared parts",
                &self.missed,
            ),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
    }

    pub(crate) fn set(&self, figures: &ReuseFigures) {
        let counters = [
            (&self.fetches, figures.fetches),
            (&self.fetched_tokens, figures.fetched_tokens),
            (&self.judged, figures.judged),
            (&self.expected, figures.expected),
            (&self.missed, figures.missed),
        ];
        for (counter, total) in counters {
            counter.inner().store(total, Ordering::Relaxed);
        }
    }
}
