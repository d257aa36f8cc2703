use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use crate::clock::Clock;

/// Longest gap between two ticks of the exchange with peers; longer ones mean that this process
/// was suspended. The same bound as in the membership.
const PAUSE_US: u64 = 2_000_000;

/// Longest refusal of work after a pause. With neither store nor peers in reach, model traffic
/// continues with what this daemon knows.
const REFUSE_US: u64 = 5_000_000;

/// Pause between two looks whether work may be sent.
const WAIT_POLL: Duration = Duration::from_millis(20);

/// Whether the view of this daemon may be out of date because the process was suspended.
#[derive(Debug, Default)]
#[expect(clippy::struct_field_names, reason = "fields carry their unit")]
pub(crate) struct Freshness {
    ticked_us: AtomicU64,
    resumed_us: AtomicU64,
    stale_until_us: AtomicU64,
}

impl Freshness {
    /// Notes that the process runs.
    pub(crate) fn tick(&self, now_us: u64) {
        self.ticked_us.store(now_us, Ordering::Release);
    }

    /// Notes the end of a pause.
    pub(crate) fn resume(&self, now_us: u64) {
        self.resumed_us.store(now_us, Ordering::Release);
        let until_us = now_us + REFUSE_US;
        self.stale_until_us.store(until_us, Ordering::Release);
    }

    /// Notes that store or peer has confirmed the configuration version in an exchange that began
    /// at this time. One that began before the end of the pause proves nothing.
    pub(crate) fn confirm(&self, began_us: u64) {
        if began_us >= self.resumed_us.load(Ordering::Acquire) {
            self.stale_until_us.store(0, Ordering::Release);
        }
    }

    /// Waits until work may be sent: at once, but for the time after a pause.
    pub(crate) async fn wait(&self, clock: Clock) {
        while self.is_stale(clock.now_us()) {
            tokio::time::sleep(WAIT_POLL).await;
        }
    }

    /// Returns whether new work has to be refused.
    ///
    /// The gap since the last tick counts too: a request may be read before the tick that would
    /// notice the pause.
    pub(crate) fn is_stale(&self, now_us: u64) -> bool {
        let gap_us = now_us.saturating_sub(self.ticked_us.load(Ordering::Acquire));
        gap_us > PAUSE_US || now_us < self.stale_until_us.load(Ordering::Acquire)
    }
}
