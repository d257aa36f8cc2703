use hdrhistogram::Histogram;

/// Largest accumulated credit: ten hedges, so that a burst after an idle period stays small.
const CREDIT_MAX_PERMILLE: u64 = 10_000;

/// Length of an observation window; the delay is computed from the current and previous window.
const WINDOW_US: u64 = 30_000_000;

/// Fewest observations in a window from which a delay is computed.
const DELAY_OBSERVATIONS_MIN: u64 = 100;

/// Largest time that the histogram distinguishes; longer ones are recorded as this.
const TIME_MAX_US: u64 = 600_000_000;

/// Budget of hedged requests: limits them to a share of all starts and computes the hedge delay.
///
/// ```
/// # use route::HedgeBudget;
/// let mut budget = HedgeBudget::new(20, 0.95);
/// for _ in 0..100 {
///     budget.start();
///     budget.record_first_token(0, 80_000);
/// }
/// assert_eq!((budget.try_hedge(), budget.try_hedge(), budget.try_hedge()), (true, true, false));
/// assert!(budget.delay_us(0).is_some_and(|delay_us| delay_us >= 80_000));
/// ```
#[derive(Debug, Clone)]
pub struct HedgeBudget {
    /// Hedges allowed per thousand starts.
    permille: u64,
    /// Quantile of the times to first token that is the hedge delay.
    quantile: f64,
    /// Hedges available now, in thousandths.
    credit_permille: u64,
    window_start_us: u64,
    current: Option<Histogram<u64>>,
    previous: Option<Histogram<u64>>,
}

impl HedgeBudget {
    /// Creates a budget of `permille` hedges per thousand starts, with the `quantile` of observed
    /// times to first token as the hedge delay.
    #[must_use]
    pub fn new(permille: u32, quantile: f64) -> Self {
        Self {
            permille: u64::from(permille),
            quantile: quantile.clamp(0.0, 1.0),
            credit_permille: 0,
            window_start_us: 0,
            current: histogram(),
            previous: None,
        }
    }

    /// Records the start of a first attempt.
    pub fn start(&mut self) {
        self.credit_permille = (self.credit_permille + self.permille).min(CREDIT_MAX_PERMILLE);
    }

    /// Records a time to first token.
    pub fn record_first_token(&mut self, now_us: u64, elapsed_us: u64) {
        self.rotate_windows(now_us);
        if let Some(current) = &mut self.current {
            current.saturating_record(elapsed_us);
        }
    }

    /// Takes one hedge from the budget; returns whether the budget allowed it.
    #[must_use]
    pub const fn try_hedge(&mut self) -> bool {
        let allowed = self.credit_permille >= 1_000;
        if allowed {
            self.credit_permille -= 1_000;
        }
        allowed
    }

    /// Returns the hedge delay, or `None` until enough times have been observed.
    pub fn delay_us(&mut self, now_us: u64) -> Option<u64> {
        self.rotate_windows(now_us);
        let windows = self.current.iter().chain(&self.previous);
        let usable = windows.filter(|window| window.len() >= DELAY_OBSERVATIONS_MIN);
        usable
            .map(|window| window.value_at_quantile(self.quantile))
            .max()
    }

    fn rotate_windows(&mut self, now_us: u64) {
        let passed_us = now_us.saturating_sub(self.window_start_us);
        if passed_us >= WINDOW_US {
            let last = std::mem::replace(&mut self.current, histogram());
            self.previous = last.filter(|_| passed_us < 2 * WINDOW_US);
            self.window_start_us = now_us;
        }
    }
}

fn histogram() -> Option<Histogram<u64>> {
    Histogram::new_with_bounds(1, TIME_MAX_US, 2).ok()
}
