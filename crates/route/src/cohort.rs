use crate::fit::Fit;

/// At most one upstream in this many may be ejected.
const EJECTED_DIVISOR: u32 = 3;

/// Upstreams that serve the same models or plain service and are compared with each other.
#[derive(Debug, Clone)]
pub struct Cohort {
    /// `false` with the sorted models of an engine, or `true` with the name of a plain service.
    pub key: (bool, Vec<String>),
    /// Time to first token in microseconds, by prompt tokens.
    pub first_token: Fit,
    /// Time between tokens in microseconds, by jobs in the batch.
    pub gap: Fit,
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
            first_token_median: 1.0,
            gap_median: 1.0,
            has_first_token: false,
            usable: 0,
            ejected: 0,
        }
    }

    /// Returns how many members may be ejected at once.
    pub const fn ejected_max(&self) -> u32 {
        self.usable / EJECTED_DIVISOR
    }
}
