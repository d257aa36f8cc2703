use std::fmt;

use hdrhistogram::Histogram;

use super::{requests::Request, setup::DaySetup};
use crate::number::{ratio, rounded};

/// Time before requests count in the measures: caches are empty at first.
const WARM_UP_US: u64 = 5_000_000;

/// Longest time that the histograms hold, in milliseconds.
const LONGEST_MS: u64 = 60_000;

/// What came of a request.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RequestRecord {
    pub(super) submits: u32,
    pub(super) tokens: u32,
    /// Time of the first event.
    first_token_us: Option<u64>,
    last_event_us: u64,
    gap_max_us: u64,
    complete: bool,
    pub(super) refused: bool,
    pub(super) late: bool,
}

impl RequestRecord {
    /// Returns whether nothing more will come of it.
    pub(super) const fn is_closed(&self) -> bool {
        self.complete || self.refused || self.late
    }

    /// Counts a token; an event ends with its last token.
    pub(super) fn token(&mut self, now_us: u64, event_tokens: u32, last: bool) {
        self.tokens += 1;
        self.complete |= last;
        if !last && !self.tokens.is_multiple_of(event_tokens) {
            return;
        }
        if self.first_token_us.is_some() {
            self.gap_max_us = self.gap_max_us.max(now_us - self.last_event_us);
        }
        self.first_token_us = self.first_token_us.or(Some(now_us));
        self.last_event_us = now_us;
    }
}

/// Measures of one kind of request.
#[derive(Debug, Clone)]
pub(crate) struct Line {
    pub(crate) name: &'static str,
    pub(crate) owed: u64,
    pub(crate) served: u64,
    pub(crate) on_time: u64,
    first_ms: Option<Histogram<u64>>,
}

impl Line {
    /// Returns the share of requests that count in full.
    pub(crate) fn on_time_share(&self) -> f64 {
        ratio(self.on_time, self.owed)
    }
}

/// Measures of a day.
#[derive(Debug, Clone)]
pub(crate) struct Report {
    pub(crate) lines: Vec<Line>,
    /// Prompt tokens that the engines read.
    pub(crate) read_tokens: u64,
    /// Prompt tokens that they would have read if every shared part were read once.
    pub(crate) least_tokens: u64,
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
        let lines = setup.sheet.requests.iter().map(|mix| Line {
            name: mix.name,
            owed: 0,
            served: 0,
            on_time: 0,
            first_ms: Histogram::new_with_max(LONGEST_MS, 2).ok(),
        });
        let mut lines: Vec<Line> = lines.collect();
        let mut seen = Vec::new();
        let mut least_tokens = 0;
        for (request, record) in requests.iter().zip(records) {
            for part in request.prompt.iter() {
                if let Err(index) = seen.binary_search(&part.id) {
                    seen.insert(index, part.id);
                    least_tokens += u64::from(part.tokens);
                }
            }
            if request.arrive_us < WARM_UP_US {
                continue;
            }
            let mix = &setup.sheet.requests[request.mix];
            let line = &mut lines[request.mix];
            line.owed += 1;
            let Some(first_token_us) = record
                .first_token_us
                .filter(|_| record.complete && !record.late)
            else {
                continue;
            };
            line.served += 1;
            let first_token_us = first_token_us - request.arrive_us;
            let in_time = first_token_us <= mix.target_ms * 1_000
                && record.gap_max_us <= mix.event_gap_ms * 1_000;
            line.on_time += u64::from(in_time);
            if let Some(histogram) = &mut line.first_ms {
                histogram.saturating_record(first_token_us / 1_000);
            }
        }
        Self {
            lines,
            read_tokens,
            least_tokens,
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
                let histogram = line.first_ms.as_ref();
                histogram.map_or(0, |histogram| histogram.value_at_quantile(part))
            };
            writeln!(
                f,
                "{:<12} {:>6} {:>7.3} {:>8.3} {:>7} {:>7}",
                line.name,
                line.owed,
                ratio(line.served, line.owed),
                line.on_time_share(),
                quantile(0.5),
                quantile(0.95)
            )?;
        }
        writeln!(
            f,
            "prompt tokens read: {}, {} times the least; preemptions: {}",
            self.read_tokens,
            rounded(ratio(self.read_tokens, self.least_tokens)),
            self.preemptions
        )
    }
}
