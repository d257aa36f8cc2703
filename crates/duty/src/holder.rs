use lease::{Lease, LeaseEnd, LeaseStep};
use store::{Row, StoreError, StoreVersion};

use crate::{Hold, HoldChange, HolderStep, HolderTiming, LossReason};

/// Time between two checks while there is nothing to do.
const IDLE_US: u64 = 1_000_000;

/// Delay before a failed acquisition is tried again.
const RETRY_US: u64 = 500_000;

/// A lease is renewed when this part of its usable length remains.
const RENEW_DIVISOR: u64 = 2;

/// State machine of one host that may hold the duties of the fleet.
///
/// It acquires the lease on the duties when it is a candidate, renews it, gives it back when the
/// host stops, and says for each call whether it may be made. A host rests after each hold and
/// after its start, so that holders never alternate within the length of a lease.
#[derive(Debug, Clone)]
pub struct Holder {
    timing: HolderTiming,
    name: String,
    /// Distinguishes this run of the daemon from all others.
    run: String,
    acquisitions: u64,
    aim: Aim,
    /// Time before which the duties aren't acquired.
    rest_until_us: u64,
    retry_us: u64,
    lease: Option<Lease>,
    /// Acquisition that failed, whose observation of the row goes on.
    failed_lease: Option<Lease>,
    /// Hold as it was announced by the last change.
    hold: Option<Hold>,
    calls_in_flight: u32,
    /// Whether a call of this hold may still be under way without an answer.
    has_uncertain_call: bool,
    failures: u32,
    /// Whether the hold ends without another renewal.
    expiring: bool,
    highest_token: u64,
    /// Newest known era of the store.
    era: u64,
    /// Time at which that era was first seen.
    era_seen_us: u64,
    changes: Vec<HoldChange>,
}

/// What a host does about the duties.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Aim {
    /// Leaves them to others, unless it holds them.
    Leave,
    /// Tries to hold them.
    Hold,
    /// Gives them back.
    Stop,
}

impl Holder {
    /// Creates the state of a host that starts now; `run` must be unique among all runs.
    #[must_use]
    pub fn new(timing: HolderTiming, name: &str, run: &str, now_us: u64) -> Self {
        Self {
            timing,
            name: name.to_owned(),
            run: run.to_owned(),
            acquisitions: 0,
            aim: Aim::Leave,
            // An earlier run on this host may have held the duties until just now.
            rest_until_us: now_us.saturating_add(timing.start_rest_us),
            retry_us: now_us,
            lease: None,
            failed_lease: None,
            hold: None,
            calls_in_flight: 0,
            has_uncertain_call: false,
            failures: 0,
            expiring: false,
            highest_token: 0,
            era: 0,
            era_seen_us: 0,
            changes: Vec::new(),
        }
    }

    /// Sets whether this host is one of the [`candidates`](crate::candidates). A holder keeps the
    /// duties in any case.
    pub fn set_candidate(&mut self, is_candidate: bool) {
        if self.aim != Aim::Stop {
            self.aim = if is_candidate { Aim::Hold } else { Aim::Leave };
        }
    }

    /// Gives the duties back and acquires them no more, because the host stops.
    pub const fn stop(&mut self) {
        self.aim = Aim::Stop;
    }

    /// Records a token of another holder, which all later ones must exceed.
    pub fn see_token(&mut self, token: u64) {
        self.highest_token = self.highest_token.max(token);
    }

    /// Records the newest known era of the store: in each step, and before the result of a call that
    /// told it.
    ///
    /// A host that isn't a candidate has to know it too: once it is one, it must not acquire the
    /// duties before the holder of the era before has lost them.
    pub fn see_era(&mut self, now_us: u64, era: u64) {
        if era <= self.era {
            return;
        }
        self.era = era;
        self.era_seen_us = now_us;
        if let Some(lease) = &mut self.lease {
            lease.see_era(now_us, era);
        }
    }

    /// Returns the highest token that is known.
    #[must_use]
    pub const fn highest_token(&self) -> u64 {
        self.highest_token
    }

    /// Returns the hold, if there is one now.
    #[must_use]
    pub fn current(&self, now_us: u64) -> Option<Hold> {
        let lease = self.lease.as_ref().filter(|lease| lease.holds(now_us))?;
        Some(Hold {
            token: lease.token(),
            until_us: now_us + lease.remaining_us(now_us),
            since_us: self.hold.map_or(now_us, |hold| hold.since_us),
        })
    }

    /// Returns the hold for a call that is sent at once and stopped after `call_us`, if the hold
    /// lasts so long. Its result has to be passed to [`finish_call`](Self::finish_call).
    pub fn begin_call(&mut self, now_us: u64, call_us: u64) -> Option<Hold> {
        if self.aim == Aim::Stop || self.expiring {
            return None;
        }
        let hold = self.current(now_us)?;
        if now_us.saturating_add(call_us) >= hold.until_us {
            return None;
        }
        self.calls_in_flight += 1;
        Some(hold)
    }

    /// Records the end of a call: whether the control service served it, and whether it may still
    /// take effect later.
    ///
    /// A call ends before a host can hold the duties again, so it belongs to the present hold.
    pub const fn finish_call(&mut self, is_answered: bool, is_uncertain: bool) {
        if self.hold.is_none() {
            return;
        }
        self.calls_in_flight = self.calls_in_flight.saturating_sub(1);
        self.has_uncertain_call |= is_uncertain;
        if is_answered {
            self.failures = 0;
            return;
        }
        self.failures += 1;
        self.expiring |= self.failures >= self.timing.failures_max;
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<HoldChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the next step that the caller has to carry out.
    pub fn step(&mut self, now_us: u64) -> HolderStep {
        let idle = HolderStep::Wait {
            until_us: now_us + IDLE_US,
        };
        if self.lease.is_none() {
            if self.aim != Aim::Hold {
                return idle;
            }
            if now_us < self.retry_us {
                return HolderStep::Wait {
                    until_us: self.retry_us,
                };
            }
            self.lease = Some(self.new_lease(now_us));
        }
        if self.aim == Aim::Stop {
            self.begin_release();
        }
        let renew_us = self.renew_us();
        let Some(lease) = &mut self.lease else {
            return idle;
        };
        // A candidate that fell behind others stops observing, but a write in progress must end.
        if self.aim != Aim::Hold && self.hold.is_none() && !lease.is_writing() {
            self.lease = None;
            return idle;
        }
        if !self.expiring && self.hold.is_some() && lease.remaining_us(now_us) < renew_us {
            lease.renew(now_us);
        }
        let step = lease.step(now_us);
        self.update(now_us);
        match step {
            LeaseStep::Read => HolderStep::Read,
            LeaseStep::Write { expect, record } => HolderStep::Write { expect, record },
            LeaseStep::Wait { until_us } => HolderStep::Wait { until_us },
            LeaseStep::Held { until_us } => {
                let renewal_us = until_us.saturating_sub(renew_us).max(now_us + 1_000);
                let until_us = if self.expiring { until_us } else { renewal_us };
                HolderStep::Wait { until_us }
            }
            LeaseStep::Ended(end) => {
                self.failed_lease = self.lease.take();
                self.retry_us = match end {
                    LeaseEnd::Over => {
                        self.failed_lease = None;
                        now_us
                    }
                    _ => now_us + RETRY_US,
                };
                HolderStep::Wait {
                    until_us: self.retry_us.max(now_us + 1_000),
                }
            }
        }
    }

    /// Handles the result of reading the row.
    pub fn handle_read(&mut self, now_us: u64, result: Result<Option<Row>, StoreError>) {
        if let Some(lease) = &mut self.lease {
            lease.handle_read(now_us, result);
            self.update(now_us);
        }
    }

    /// Handles the result of writing the row.
    pub fn handle_write(&mut self, now_us: u64, result: Result<StoreVersion, StoreError>) {
        if let Some(lease) = &mut self.lease {
            lease.handle_write(now_us, result);
            self.update(now_us);
        }
    }

    /// Returns the remaining time of a hold at which it is renewed.
    fn renew_us(&self) -> u64 {
        let usable_us = self.lease.as_ref().map_or(0, Lease::usable_us);
        usable_us / RENEW_DIVISOR
    }

    fn new_lease(&mut self, now_us: u64) -> Lease {
        self.acquisitions += 1;
        let attempt = format!("{}/{}/{}", self.name, self.run, self.acquisitions);
        let lease = Lease::new(self.timing.lease, &self.name, &attempt, now_us)
            .with_earliest_us(self.rest_until_us.max(now_us))
            .with_token_above(self.highest_token)
            .with_era(self.era, self.era_seen_us);
        match self.failed_lease.take() {
            Some(failed) => lease.with_observation_of(&failed),
            None => lease,
        }
    }

    /// Starts the release, unless a call is in flight. A call without an answer may still be under
    /// way, so the lease is then left to expire.
    fn begin_release(&mut self) {
        if self.hold.is_none() || self.calls_in_flight > 0 {
            return;
        }
        if self.has_uncertain_call {
            self.expiring = true;
        } else if let Some(lease) = &mut self.lease {
            lease.release();
        }
    }

    /// Compares the lease with the announced hold and records a change.
    fn update(&mut self, now_us: u64) {
        if let Some(lease) = &self.lease {
            self.highest_token = self.highest_token.max(lease.observed_token());
        }
        let current = self.current(now_us);
        match (self.hold, current) {
            (None, Some(hold)) => {
                self.highest_token = self.highest_token.max(hold.token);
                self.hold = Some(Hold {
                    since_us: now_us,
                    ..hold
                });
                self.changes.push(HoldChange::Gained { token: hold.token });
            }
            (Some(hold), None) => self.end_hold(now_us, hold.token),
            _ => {}
        }
    }

    fn end_hold(&mut self, now_us: u64, token: u64) {
        let failed = self.failures >= self.timing.failures_max;
        let reason = if failed {
            LossReason::CallsFailed
        } else if self.aim == Aim::Stop && !self.expiring {
            LossReason::Released
        } else {
            LossReason::Expired
        };
        let rest_us = if failed {
            self.timing.failed_rest_us
        } else {
            self.timing.rest_us
        };
        self.rest_until_us = now_us.saturating_add(rest_us);
        self.changes.push(HoldChange::Lost { token, reason });
        self.hold = None;
        self.calls_in_flight = 0;
        self.has_uncertain_call = false;
        self.failures = 0;
        self.expiring = false;
    }
}
