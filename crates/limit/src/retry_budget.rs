/// Retries allowed per hundred recent starts.
const RETRY_PERCENT: u64 = 10;

/// Retries allowed in addition, so that a daemon with few starts can still retry.
const BASE_RETRIES: u64 = 3;

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
        let overlap_us = WINDOW_US - now_us % WINDOW_US;
        let weighted = |counts: [u64; 2]| counts[0] * WINDOW_US + counts[1] * overlap_us;
        let allowed = weighted(self.starts) * RETRY_PERCENT / 100 + BASE_RETRIES * WINDOW_US;
        let available = weighted(self.retries) + WINDOW_US <= allowed;
        self.retries[0] += u64::from(available);
        available
    }

    fn rotate_windows(&mut self, now_us: u64) {
        let window = now_us / WINDOW_US;
        if window > self.window {
            let adjacent = u64::from(window == self.window + 1);
            self.starts = [0, self.starts[0] * adjacent];
            self.retries = [0, self.retries[0] * adjacent];
            self.window = window;
        }
    }
}
