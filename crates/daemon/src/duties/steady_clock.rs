use rustix::time::{ClockId, Timespec, clock_gettime};
use tokio::time::Instant;

/// Clock that also advances while the host is suspended, in microseconds since its creation.
///
/// It is the runtime's clock, which tests pause, plus the time that the host was suspended.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SteadyClock {
    start: Instant,
    suspended_before_us: u64,
}

impl SteadyClock {
    /// Creates a clock that starts now.
    pub(crate) fn new() -> Self {
        Self {
            start: Instant::now(),
            suspended_before_us: suspended_us(),
        }
    }

    /// Returns the time since the start in microseconds.
    pub(crate) fn now_us(&self) -> u64 {
        let running_us = u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX);
        let suspended_us = suspended_us().saturating_sub(self.suspended_before_us);
        running_us.saturating_add(suspended_us)
    }
}

/// Returns how long the host has been suspended since its start.
///
/// The monotonic clock is read first, so that a pause between the two reads counts as time that has
/// passed.
fn suspended_us() -> u64 {
    let running = clock_gettime(ClockId::Monotonic);
    let since_boot = clock_gettime(ClockId::Boottime);
    micros(since_boot).saturating_sub(micros(running))
}

fn micros(time: Timespec) -> u64 {
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
    seconds
        .saturating_mul(1_000_000)
        .saturating_add(nanos / 1_000)
}
