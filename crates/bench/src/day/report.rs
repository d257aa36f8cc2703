//! Results of a run.

use std::fmt;

use hdrhistogram::Histogram;

use super::{requests::Request, setup::DaySetup};
use crate::number::{ratio, rounded};

/// Warm-up: requests that arrive earlier, while caches are still empty, are not measured.
const WARM_UP_US: u64 = 5_000_000;

/// Largest value of the histograms.
const HISTOGRAM_MAX_MS: u64 = 60_000;

/// Progress and result of a request, as its caller sees it.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RequestRecord {
    pub(super) submits: u32,
    pub(super) tokens: u32,
    /// Time of the first event.
    first_event_us: Option<u64>,
    last_event_us: u64,
    gap_max_us: u64,
    complete: bool,
    pub(super) refused: bool,
    pub(super) deadline_passed: bool,
}

impl RequestRecord {
    /// Returns whether the request has ended for its caller.
    pub(super) const fn is_closed(&self) -> bool {
        self.complete || self.refused || self.deadline_passed
    }

    /// Records a token; the last token of an event completes the event.
    pub(super) fn record_token(&mut self, now_us: u64, event_tokens: u32, last: bool) {
        self.tokens += 1;
        self.complete |= last;
        if !last && !self.tokens.is_multiple_of(event_tokens) {
            return;
        }
        if self.first_event_us.is_some() {
            self.gap_max_us = self.gap_max_us.max(now_us - self.last_event_us);
        }
        self.first_event_us = self.first_event_us.or(Some(now_us));
        self.last_event_us = now_us;
    }
}

/// Results of one request spec.
#[derive(Debug, Clone)]
pub(crate) struct Line {
    pub(crate) name: &'static str,
    /// Requests that arrived after the warm-up.
    pub(crate) arrived: u64,
    /// Requests whose answer was complete before the deadline.
    pub(crate) served: u64,
    /// Served requests that met the targets for the first event and for the gaps between events.
    pub(crate) on_time: u64,
    first_event_ms: Option<Histogram<u64>>,
}

impl Line {
    /// Returns the share of requests that were served within their targets.
    pub(crate) fn on_time_share(&self) -> f64 {
        ratio(self.on_time, self.arrived)
    }
}

/// Results of one run.
#[derive(Debug, Clone)]
pub(crate) struct Report {
    pub(crate) lines: Vec<Line>,
    /// Prompt tokens that the engines processed.
    pub(crate) read_tokens: u64,
    /// Prompt tokens that they would have processed if every shared part were processed only once.
    pub(crate) min_read_tokens: u64,
    pub(crate) preemptions: u64,
}

impl Report {
    pub(super) fn new(
        setup: &DaySetup,
        requests: &[Request],
        records: &[RequestRecord],
        read_tokens: u64,
        preemptions: u64,
    ) -> Self {
        let lines = setup.deployment.requests.iter().map(|spec| Line {
            name: spec.name,
            arrived: 0,
            served: 0,
            on_time: 0,
            first_event_ms: Histogram::new_with_max(HISTOGRAM_MAX_MS, 2).ok(),
        });
        let mut lines: Vec<Line> = lines.collect();
        let mut counted_parts = Vec::new();
        let mut min_read_tokens = 0;
        for (request, record) in requests.iter().zip(records) {
            for part in request.prompt.iter() {
                if let Err(index) = counted_parts.binary_search(&part.id) {
                    counted_parts.insert(index, part.id);
                    min_read_tokens += u64::from(part.tokens);
                }
            }
            if request.arrive_us < WARM_UP_US {
                continue;
            }
            let spec = &setup.deployment.requests[request.spec];
            let line = &mut lines[request.spec];
            line.arrived += 1;
            let Some(first_event_us) = record
                .first_event_us
                .filter(|_| record.complete && !record.deadline_passed)
            else {
                continue;
            };
            line.served += 1;
            let first_event_us = first_event_us - request.arrive_us;
            let in_time = first_event_us <= spec.target_ms * 1_000
                && record.gap_max_us <= spec.event_gap_ms * 1_000;
            line.on_time += u64::from(in_time);
            if let Some(histogram) = &mut line.first_event_ms {
                histogram.saturating_record(first_event_us / 1_000);
            }
        }
        Self {
            lines,
            read_tokens,
            min_read_tokens,
            preemptions,
        }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<12} {:>6} {:>7} {:>8} {:>7} {:>7}",
            "request", "owed", "served", "on time", "p50 ms", "p95 ms"
        )?;
        for line in &self.lines {
            let quantile = |part| {
                let histogram = line.first_event_ms.as_ref();
                histogram.map_or(0, |histogram| histogram.value_at_quantile(part))
            };
            writeln!(
                f,
                "{:<12} {:>6} {:>7.3} {:>8.3} {:>7} {:>7}",
                line.name,
                line.arrived,
                ratio(line.served, line.arrived),
                line.on_time_share(),
                quantile(0.5),
                quantile(0.95)
            )?;
        }
        writeln!(
            f,
            "prompt tokens read: {}, {} times the least; preemptions: {}",
            self.read_tokens,
            rounded(ratio(self.read_tokens, self.min_read_tokens)),
            self.preemptions
        )
    }
}
