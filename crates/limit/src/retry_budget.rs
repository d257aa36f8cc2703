/// Retries allowed for each hundred recent starts.
const PERCENT: u64 = 10;

/// Retries allowed in a window without any start, so that a quiet daemon can still retry.
const FLOOR: u64 = 3;

/// Length of the window over which starts and retries are counted.
const WINDOW_US: u64 = 10_000_000;

/// Bound on retries: a fraction of the recent starts plus a small floor.
///
/// Two windows are kept; the older one counts with the part of it that is still recent.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RetryBudget {
    window: u64,
    starts: [u64; 2],
    retries: [u64; 2],
}

impl RetryBudget {
    /// Notes the first attempt of a job.
    pub fn start(&mut self, now_us: u64) {
        self.advance(now_us);
        self.starts[0] += 1;
    }

    /// Takes one retry from the budget; returns whether there was one.
    pub fn try_retry(&mut self, now_us: u64) -> bool {
        self.advance(now_us);
        let recent_us = WINDOW_US - now_us % WINDOW_US;
        let recent = |counts: [u64; 2]| counts[0] * WINDOW_US + counts[1] * recent_us;
        let allowed = recent(self.starts) * PERCENT / 100 + FLOOR * WINDOW_US;
        let free = recent(self.retries) + WINDOW_US <= allowed;
        self.retries[0] += u64::from(free);
        free
    }

    fn advance(&mut self, now_us: u64) {
        let window = now_us / WINDOW_US;
        if window > self.window {
            let adjacent = u64::from(window == self.window + 1);
            self.starts = [0, self.starts[0] * adjacent];
            self.retries = [0, self.retries[0] * adjacent];
            self.window = window;
        }
    }
}
