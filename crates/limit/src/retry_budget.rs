/// Retries allowed per hundred recent starts.
const RETRY_PERCENT: u64 = 10;

/// Retries allowed in addition, so that a daemon with few starts can still retry.
const BASE_RETRIES: u64 = 3;

/// Retries allowed per hundred recent starts, beside all others, for jobs that were lost with their
/// upstream. Such a loss takes all jobs of the upstream at once, and moves them once.
const LOSS_RETRY_PERCENT: u64 = 10;

/// Retries allowed for lost jobs in any case.
const LOSS_RETRIES_MIN: u64 = 3;

/// Length of the window in which starts and retries are counted.
const WINDOW_US: u64 = 10_000_000;

/// Limit on retries: a fraction of the recent starts plus a small constant.
///
/// Counts are kept for the current and the previous window. The previous one is weighted by the
/// share of it that lies within one window length before now.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RetryBudget {
    /// Number of the current window.
    window: u64,
    starts: [u64; 2],
    retries: [u64; 2],
    loss_retries: [u64; 2],
}

impl RetryBudget {
    /// Records the first attempt of a job.
    pub fn start(&mut self, now_us: u64) {
        self.rotate_windows(now_us);
        self.starts[0] += 1;
    }

    /// Takes one retry from the budget; returns whether the budget allowed it.
    pub fn try_retry(&mut self, now_us: u64) -> bool {
        self.rotate_windows(now_us);
        let share = weighted(now_us, self.starts) * RETRY_PERCENT / 100;
        let allowed = share + BASE_RETRIES * WINDOW_US;
        let available = weighted(now_us, self.retries) + WINDOW_US <= allowed;
        self.retries[0] += u64::from(available);
        available
    }

    /// Takes one retry of a job that was lost together with its upstream; returns whether the budget
    /// allowed it.
    pub fn try_retry_after_loss(&mut self, now_us: u64) -> bool {
        if self.try_retry(now_us) {
            return true;
        }
        let share = weighted(now_us, self.starts) * LOSS_RETRY_PERCENT / 100;
        let allowed = share.max(LOSS_RETRIES_MIN * WINDOW_US);
        let available = weighted(now_us, self.loss_retries) + WINDOW_US <= allowed;
        self.loss_retries[0] += u64::from(available);
        available
    }

    fn rotate_windows(&mut self, now_us: u64) {
        let window = now_us / WINDOW_US;
        if window > self.window {
            let adjacent = u64::from(window == self.window + 1);
            self.starts = [0, self.starts[0] * adjacent];
            self.retries = [0, self.retries[0] * adjacent];
            self.loss_retries = [0, self.loss_retries[0] * adjacent];
            self.window = window;
        }
    }
}

/// Returns a count within one window length before now, multiplied by that length.
const fn weighted(now_us: u64, counts: [u64; 2]) -> u64 {
    let overlap_us = WINDOW_US - now_us % WINDOW_US;
    counts[0] * WINDOW_US + counts[1] * overlap_us
}
