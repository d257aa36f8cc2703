use std::time::Duration;

use tokio::time::Instant;

/// Monotonic clock of the runtime, in microseconds since the daemon started.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    /// Creates a clock that starts now.
    pub(crate) fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the time since the start in microseconds.
    pub(crate) fn now_us(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    /// Returns the time since the start.
    pub(crate) fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }
}
