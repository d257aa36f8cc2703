//! Results of a run by service class, as the callers saw them.

use std::fmt;

use hdrhistogram::Histogram;

use crate::{Mix, RequestOutcome, Sample};

/// Longest time that the histograms record; longer times count as this one.
const TIME_MAX_US: u64 = 600_000_000;

/// Results of one run, by service class.
#[derive(Debug)]
pub struct Report {
    classes: Vec<ClassReport>,
}

/// Results of one service class.
#[derive(Debug)]
pub struct ClassReport {
    /// Service class.
    pub class: &'static str,
    /// Requests of the plan, including those that were not sent.
    pub requests: u64,
    /// Complete responses.
    pub complete: u64,
    /// Requests that were refused or not sent.
    pub refused: u64,
    /// Responses that were incomplete because the connection failed.
    pub broken: u64,
    /// Requests whose caller disconnected early, as planned.
    pub abandoned: u64,
    /// Requests that met the latency targets of the class.
    pub attained: u64,
    /// Tokens of complete responses.
    pub goodput_tokens: u64,
    first_token_us: Histogram<u64>,
    first_token_target_us: u64,
    token_gap_target_us: u64,
}

impl Report {
    pub(crate) fn new(mix: &Mix) -> Self {
        let classes = mix.requests.iter().map(|spec| ClassReport {
            class: spec.class,
            requests: 0,
            complete: 0,
            refused: 0,
            broken: 0,
            abandoned: 0,
            attained: 0,
            goodput_tokens: 0,
            first_token_us: Histogram::new_with_max(TIME_MAX_US, 3).expect("valid bounds"),
            first_token_target_us: spec.first_token_ms * 1_000,
            token_gap_target_us: spec.token_gap_ms * 1_000,
        });
        Self {
            classes: classes.collect(),
        }
    }

    /// Returns the results by class, in the order of the mix.
    #[must_use]
    pub fn classes(&self) -> &[ClassReport] {
        &self.classes
    }

    /// Returns the number of incomplete responses in all classes.
    #[must_use]
    pub fn broken(&self) -> u64 {
        self.classes.iter().map(|class| class.broken).sum()
    }

    /// Adds the result of a request.
    pub(crate) fn add(&mut self, sample: &Sample) {
        let class = &mut self.classes[sample.spec_index];
        class.requests += 1;
        match sample.outcome {
            RequestOutcome::Complete => {
                class.complete += 1;
                class.goodput_tokens += u64::from(sample.tokens);
            }
            RequestOutcome::Abandoned => class.abandoned += 1,
            RequestOutcome::Refused => class.refused += 1,
            RequestOutcome::Broken => class.broken += 1,
        }
        if sample.tokens > 0 {
            class
                .first_token_us
                .saturating_record(sample.first_token_us);
        }
        let is_answered = matches!(
            sample.outcome,
            RequestOutcome::Complete | RequestOutcome::Abandoned
        );
        let is_first_token_in_time = sample.first_token_us <= class.first_token_target_us;
        let is_gap_in_time = sample.token_gap_us <= class.token_gap_target_us;
        class.attained += u64::from(is_answered && is_first_token_in_time && is_gap_in_time);
    }

    /// Adds a request that was not sent because too many were in flight; it counts as refused.
    pub(crate) fn add_unsent(&mut self, spec_index: usize) {
        let class = &mut self.classes[spec_index];
        class.requests += 1;
        class.refused += 1;
    }
}

impl ClassReport {
    /// Returns the fraction of requests that met the targets; refusals count as missed.
    #[must_use]
    pub fn attainment(&self) -> f64 {
        self.attained as f64 / self.requests.max(1) as f64
    }

    /// Returns a quantile of the time to the first token, in milliseconds.
    #[must_use]
    pub fn first_token_ms(&self, quantile: f64) -> f64 {
        self.first_token_us.value_at_quantile(quantile) as f64 / 1_000.0
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<10} {:>9} {:>9} {:>6} {:>8} {:>7} {:>11} {:>10} {:>10}",
            "class",
            "requests",
            "complete",
            "left",
            "refused",
            "broken",
            "attainment",
            "p50 ms",
            "p95 ms"
        )?;
        for class in &self.classes {
            writeln!(
                f,
                "{:<10} {:>9} {:>9} {:>6} {:>8} {:>7} {:>11.3} {:>10.1} {:>10.1}",
                class.class,
                class.requests,
                class.complete,
                class.abandoned,
                class.refused,
                class.broken,
                class.attainment(),
                class.first_token_ms(0.5),
                class.first_token_ms(0.95),
            )?;
        }
        Ok(())
    }
}
