use crate::{OrderOutcome, Reason, UpstreamCount};

/// Time after which a refused kind is asked for again in the same zone; it doubles with each
/// refusal.
const REFUSED_US: u64 = 2_000_000;

/// Longest time for which a kind isn't asked for in a zone after a refusal.
const REFUSED_MAX_US: u64 = 16_000_000;

/// Time after which a failed order is sent again; it doubles with each failure.
const FAILED_US: u64 = 500_000;

/// Longest time after which a failed order is sent again.
const FAILED_MAX_US: u64 = 8_000_000;

/// Time beyond its start by which an upstream is listed.
const LISTED_US: u64 = 3_000_000;

/// Largest number of doublings of a pause.
const DOUBLINGS_MAX: u32 = 8;

/// Time for which reclaimable upstreams aren't asked for in a zone in which they were taken back.
const RECLAIMED_US: u64 = 8_000_000;

/// Upstreams of one kind in one availability zone, as ordered and as seen.
#[derive(Debug, Clone, Default)]
pub struct Subject {
    /// Number of the last accepted order; `None` before the first one and after the platform took
    /// upstreams back.
    ordered: Option<u32>,
    /// Number of the order that is under way.
    in_flight: Option<u32>,
    /// Time of the next repeat of an order that has no visible effect.
    repeat_due_us: u64,
    /// Repeats without a visible effect.
    repeats: u32,
    /// Time up to which no upstreams are to be had.
    unavailable_until_us: u64,
    /// Consecutive refusals.
    refusals: u32,
    /// Time up to which nothing is sent after a failure.
    failed_until_us: u64,
    /// Consecutive failures.
    failures: u32,
    /// Upstreams that are listed.
    pub count: UpstreamCount,
}

impl Subject {
    /// Records the upstreams that are listed.
    pub fn observe(&mut self, now_us: u64, count: UpstreamCount, start_us: u64) {
        self.count = count;
        if count.live >= self.ordered() {
            self.repeats = 0;
            self.repeat_due_us = self.repeat_due_us.max(now_us + start_us + LISTED_US);
        }
    }

    /// Records the reclaimable upstreams that are listed. If most of them leave at once, the platform
    /// takes them back.
    pub fn observe_reclaimable(&mut self, now_us: u64, count: UpstreamCount, start_us: u64) {
        let before = self.count;
        let is_lower = count.live.saturating_mul(2) < before.live && count.live < self.ordered();
        if is_lower && count.leaving > before.leaving {
            self.ordered = None;
            self.unavailable_until_us = self.unavailable_until_us.max(now_us + RECLAIMED_US);
        }
        self.observe(now_us, count, start_us);
    }

    /// Records that no more than `most` can have been put in force beside the other kind, except for
    /// what is there.
    pub fn limit(&mut self, most: u32) {
        let most = most.max(self.count.live);
        self.ordered = self.ordered.map(|ordered| ordered.min(most));
    }

    /// Forgets the orders of this host, because another one orders from now on.
    pub const fn release(&mut self) {
        self.ordered = None;
        self.in_flight = None;
    }

    /// Returns the number in force.
    pub fn ordered(&self) -> u32 {
        self.ordered.unwrap_or(self.count.live)
    }

    /// Returns whether upstreams of this kind are to be had.
    pub const fn is_available(&self, now_us: u64) -> bool {
        now_us >= self.unavailable_until_us
    }

    /// Returns whether an order is under way.
    pub const fn is_busy(&self) -> bool {
        self.in_flight.is_some()
    }

    /// Returns the reason for which `desired` has to be ordered now, if it has to.
    ///
    /// What isn't available at the moment is neither raised nor given up: the platform may bring it
    /// back by itself.
    pub fn reason(&self, now_us: u64, desired: u32) -> Option<Reason> {
        if self.in_flight.is_some() || now_us < self.failed_until_us {
            return None;
        }
        let ordered = self.ordered();
        if !self.is_available(now_us) && desired <= ordered.max(self.count.live) {
            return None;
        }
        if desired > ordered {
            // What is there beyond the order would be lost by a number between the two.
            return (desired > self.count.live).then_some(Reason::More);
        }
        if desired < ordered {
            return Some(Reason::Fewer);
        }
        let is_missing = self.count.live < desired && now_us >= self.repeat_due_us;
        is_missing.then_some(Reason::Repeat)
    }

    /// Records that an order is sent.
    pub const fn begin(&mut self, desired: u32) {
        self.in_flight = Some(desired);
    }

    /// Records the result of the order that was under way.
    pub fn finish(&mut self, now_us: u64, outcome: OrderOutcome, start_us: u64) {
        let Some(desired) = self.in_flight.take() else {
            return;
        };
        match outcome {
            OrderOutcome::Accepted => {
                if self.ordered != Some(desired) {
                    self.repeats = 0;
                }
                self.ordered = Some(desired);
                let pause_us = (start_us + LISTED_US) << self.repeats.min(DOUBLINGS_MAX);
                self.repeat_due_us = now_us + pause_us;
                self.repeats += 1;
                self.refusals = 0;
                self.failures = 0;
            }
            OrderOutcome::Unavailable => {
                let pause_us = REFUSED_US << self.refusals.min(DOUBLINGS_MAX);
                self.unavailable_until_us = now_us + pause_us.min(REFUSED_MAX_US);
                self.refusals += 1;
                self.failures = 0;
            }
            OrderOutcome::Failed => {
                let pause_us = FAILED_US << self.failures.min(DOUBLINGS_MAX);
                self.failed_until_us = now_us + pause_us.min(FAILED_MAX_US);
                self.failures += 1;
            }
        }
    }
}
