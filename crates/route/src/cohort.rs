use xxhash_rust::xxh3::xxh3_64;

use crate::{
    KindEstimate,
    engine_state::Background,
    fit::Fit,
    partition::{MeanLoad, Partition},
    step_time::StepTime,
};

/// At most one upstream in this many may be ejected.
const EJECTED_DIVISOR: u32 = 3;

/// Events for each token of an answer's maximum length before the first observation.
const EVENTS_PER_TOKEN: f64 = 0.25;

/// Smallest time in which an engine processes a prompt token.
const TOKEN_MIN_US: f64 = 5.0;

/// Smoothing factor for the events of each token.
const EVENTS_GAIN: f64 = 0.05;

/// Upstreams that serve the same models or plain service and are compared with each other.
#[derive(Debug, Clone)]
pub struct Cohort {
    /// `false` with the sorted models of an engine, or `true` with the name of a plain service.
    pub key: (bool, Vec<String>),
    /// Time to first token in microseconds, by prompt tokens.
    pub first_token: Fit,
    /// Time between tokens in microseconds, by jobs in the batch.
    pub gap: Fit,
    /// Gap between two events of a stream on an engine.
    pub steps: StepTime,
    /// Events of an answer for each token of its maximum length.
    pub events_per_token: f64,
    /// Division of the engines between short and long prompts.
    pub partition: Partition,
    /// Time at which the division is weighed again.
    pub partition_due_us: u64,
    /// Estimates of all daemons; `None` until they are known.
    pub fleet_estimate: Option<KindEstimate>,
    /// Share of the engines by which those for short prompts were selected last.
    pub applied_share: f64,
    /// Moving averages of the fleet's load on an engine, first of those that are reserved for short
    /// prompts, then of the others.
    pub backgrounds: [Background; 2],
    /// Load of the engines, averaged over them.
    pub mean_load: MeanLoad,
    /// Median of the members' mean ratios of time to first token.
    pub first_token_median: f64,
    /// Median of the members' mean ratios of time between tokens.
    pub gap_median: f64,
    /// Whether a first token was ever observed; before that, overdue first tokens don't count.
    pub has_first_token: bool,
    /// Number of members that this daemon may use.
    pub usable: u32,
    /// Number of members that are ejected.
    pub ejected: u32,
}

impl Cohort {
    /// Creates a cohort that starts from the speed of a mid-size model.
    pub const fn new(key: (bool, Vec<String>)) -> Self {
        Self {
            key,
            first_token: Fit::new((0.0, 50_000.0), (1_000.0, 150_000.0)),
            gap: Fit::new((1.0, 10_500.0), (32.0, 26_000.0)),
            steps: StepTime::new(),
            events_per_token: EVENTS_PER_TOKEN,
            partition: Partition::new(),
            partition_due_us: 0,
            fleet_estimate: None,
            applied_share: 0.0,
            backgrounds: [Background::ZERO; 2],
            mean_load: MeanLoad::ZERO,
            first_token_median: 1.0,
            gap_median: 1.0,
            has_first_token: false,
            usable: 0,
            ejected: 0,
        }
    }

    /// Returns the hash that identifies this kind of engine in messages between daemons.
    pub fn kind(&self) -> u64 {
        xxh3_64(self.key.1.join("\n").as_bytes())
    }

    /// Returns the time in which an engine processes a prompt token.
    pub fn token_us(&self) -> f64 {
        self.fleet_estimate.map_or_else(
            || self.own_token_us(),
            |estimate| f64::from(estimate.token_ns) / 1_000.0,
        )
    }

    /// Returns the expected time to the first event behind `tokens` of unread prompts.
    pub fn first_event_us(&self, tokens: f64) -> f64 {
        self.first_token.predict_with_slope(tokens, self.token_us())
    }

    /// Returns this daemon's own estimate of the time in which an engine processes a prompt token.
    ///
    /// Prompts of equal sizes say nothing about the slope, which therefore has a lower bound.
    fn own_token_us(&self) -> f64 {
        self.first_token.slope().max(TOKEN_MIN_US)
    }

    /// Returns this daemon's own estimates.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a float that is too large becomes the largest integer"
    )]
    pub fn own_estimate(&self) -> KindEstimate {
        KindEstimate {
            token_ns: (self.own_token_us() * 1_000.0) as u32,
            reserved_permille: (self.partition.share() * 1_000.0).round() as u16,
        }
    }

    /// Returns the share of the engines that is reserved for short prompts.
    pub fn reserved_share(&self) -> f64 {
        self.fleet_estimate.map_or_else(
            || self.partition.share(),
            |estimate| f64::from(estimate.reserved_permille) / 1_000.0,
        )
    }

    /// Records the number of events of a complete answer.
    pub fn observe_events(&mut self, events: u32, output_tokens_max: u32) {
        if output_tokens_max > 0 {
            let per_token = f64::from(events) / f64::from(output_tokens_max);
            self.events_per_token += EVENTS_GAIN * (per_token - self.events_per_token);
        }
    }

    /// Returns the expected number of events of an answer.
    pub fn expected_events(&self, output_tokens_max: u32) -> f64 {
        (self.events_per_token * f64::from(output_tokens_max)).max(1.0)
    }

    /// Returns how many members may be ejected at once.
    pub const fn ejected_max(&self) -> u32 {
        self.usable / EJECTED_DIVISOR
    }
}
