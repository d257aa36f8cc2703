//! Detects that a suspension of the process may have made its view of the cluster stale.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use crate::clock::Clock;

/// Longest gap between two ticks of the peer exchange; a longer one means that this process was
/// suspended. The membership uses the same threshold.
const SUSPENSION_GAP_US: u64 = 2_000_000;

/// Longest time for which work is refused after a suspension. After it, model traffic continues
/// with the known configuration even if neither the store nor a peer is reachable.
const REFUSE_MAX_US: u64 = 5_000_000;

/// Interval between checks whether work may be sent.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Tracks whether this daemon's configuration and membership may be stale because the process was
/// suspended.
#[derive(Debug, Default)]
#[expect(clippy::struct_field_names, reason = "fields carry their unit")]
pub(crate) struct Freshness {
    ticked_us: AtomicU64,
    resumed_us: AtomicU64,
    stale_until_us: AtomicU64,
}

impl Freshness {
    /// Records that the process is running.
    pub(crate) fn tick(&self, now_us: u64) {
        self.ticked_us.store(now_us, Ordering::Release);
    }

    /// Records the end of a suspension.
    pub(crate) fn resume(&self, now_us: u64) {
        self.resumed_us.store(now_us, Ordering::Release);
        let until_us = now_us + REFUSE_MAX_US;
        self.stale_until_us.store(until_us, Ordering::Release);
    }

    /// Records that the store or a peer has confirmed the configuration version in an exchange that
    /// began at `began_us`. An exchange that began before the end of the suspension is ignored.
    pub(crate) fn confirm(&self, began_us: u64) {
        if began_us >= self.resumed_us.load(Ordering::Acquire) {
            self.stale_until_us.store(0, Ordering::Release);
        }
    }

    /// Waits until work may be sent; returns at once except after a suspension.
    pub(crate) async fn wait_until_fresh(&self, clock: Clock) {
        while self.is_stale(clock.now_us()) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns whether new work must be refused.
    ///
    /// The gap since the last tick counts too: a request may be read before the tick that detects
    /// the suspension.
    pub(crate) fn is_stale(&self, now_us: u64) -> bool {
        let gap_us = now_us.saturating_sub(self.ticked_us.load(Ordering::Acquire));
        gap_us > SUSPENSION_GAP_US || now_us < self.stale_until_us.load(Ordering::Acquire)
    }
}
