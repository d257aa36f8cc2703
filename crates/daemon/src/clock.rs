use std::time::{Duration, SystemTime, UNIX_EPOCH};

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

/// Returns the wall-clock time; it is used only for display and for ages that outlive a process.
pub(crate) fn unix_ms() -> u64 {
    unix_us() / 1_000
}

/// Returns the wall-clock time in microseconds, for the windows of the usage reports.
pub(crate) fn unix_us() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
}
