use store::{Row, StoreError, StoreVersion};

use crate::{
    Action, Command, DeliveryStep, Lease, LeaseEnd, LeaseStep, Outcome, Report, SendResult,
    UpstreamState,
};

/// Largest number of sends and reads that fail or have no effect before a delivery gives up.
const TRIES_MAX: u32 = 4;

/// Delay between two tries.
const RETRY_DELAY_US: u64 = 200_000;

/// Largest number of renewals in one delivery; without it, a store that takes half the length of a
/// lease for a write would make the delivery renew forever.
const RENEWALS_MAX: u32 = 8;

/// State machine of one command under a lease: acquire the lease, read the upstream's state, send
/// the command, read the state back, release the lease.
#[derive(Debug, Clone)]
pub struct Delivery {
    lease: Lease,
    renewals: u32,
    action: Action,
    phase: Phase,
    report: Report,
    /// Whether a command that got no answer may still reach the upstream.
    in_flight: bool,
    /// Whether the upstream answered that it applied the last command.
    applied: bool,
    tries: u32,
    pause_until_us: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Acquiring,
    ReadingBefore,
    Sending,
    ReadingAfter,
    Releasing(Outcome),
    Ended,
}

impl Delivery {
    /// Creates the state machine of one command under this lease.
    #[must_use]
    pub const fn new(lease: Lease, action: Action) -> Self {
        Self {
            lease,
            action,
            phase: Phase::Acquiring,
            report: Report {
                outcome: Outcome::StoreFailed,
                token: 0,
                sends: 0,
                repaired: 0,
                late: false,
                before: None,
                after: None,
            },
            in_flight: false,
            applied: false,
            renewals: 0,
            tries: 0,
            pause_until_us: 0,
        }
    }

    /// Returns the lease.
    #[must_use]
    pub const fn lease(&self) -> &Lease {
        &self.lease
    }

    /// Returns the next step that the caller has to carry out.
    pub fn step(&mut self, now_us: u64) -> DeliveryStep {
        if self.phase == Phase::Ended {
            return self.done();
        }
        if !matches!(self.phase, Phase::Acquiring | Phase::Releasing(_))
            && self.lease.remaining_us(now_us) < self.lease.usable_us() / 2
            && self.renewals < RENEWALS_MAX
        {
            self.renewals += 1;
            self.lease.renew(now_us);
        }
        match self.lease.step(now_us) {
            LeaseStep::Read => DeliveryStep::Read,
            LeaseStep::Write { expect, record } => DeliveryStep::Write { expect, record },
            LeaseStep::Wait { until_us } => DeliveryStep::Wait { until_us },
            LeaseStep::Held { .. } => self.act(now_us),
            LeaseStep::Ended(end) => {
                let outcome = match self.phase {
                    Phase::Releasing(outcome) => outcome,
                    _ if self.report.sends > 0 => Outcome::Unconfirmed,
                    _ => match end {
                        LeaseEnd::Busy | LeaseEnd::Over => Outcome::Busy,
                        LeaseEnd::StoreFailed => Outcome::StoreFailed,
                        LeaseEnd::Unreadable => Outcome::Unreadable,
                    },
                };
                self.end(outcome)
            }
        }
    }

    /// Records the newest known era of the store, before the result of a call that told it.
    pub fn see_era(&mut self, now_us: u64, era: u64) {
        self.lease.see_era(now_us, era);
    }

    /// Handles the result of reading the lease's row.
    pub fn handle_read(&mut self, now_us: u64, result: Result<Option<Row>, StoreError>) {
        self.lease.handle_read(now_us, result);
    }

    /// Handles the result of writing the lease's row.
    pub fn handle_write(&mut self, now_us: u64, result: Result<StoreVersion, StoreError>) {
        self.lease.handle_write(now_us, result);
    }

    /// Handles the upstream's state, or `None` if it could not be read.
    pub fn handle_state(&mut self, now_us: u64, state: Option<UpstreamState>) {
        let Some(state) = state else {
            let outcome = match self.report.sends {
                0 => Outcome::Unreachable,
                _ => Outcome::Unconfirmed,
            };
            self.retry(now_us, self.phase, outcome);
            return;
        };
        match self.phase {
            Phase::ReadingBefore => {
                self.report.before = Some(state);
                self.phase = Phase::Sending;
            }
            Phase::ReadingAfter => {
                let met = self.action.is_met(&state);
                self.report.after = Some(state);
                if !self.lease.holds(now_us) {
                    self.finish(Outcome::Unconfirmed);
                } else if met {
                    self.finish(Outcome::Confirmed);
                } else {
                    self.report.repaired += u32::from(self.applied);
                    self.retry(now_us, Phase::Sending, Outcome::Unconfirmed);
                }
            }
            _ => {}
        }
    }

    /// Handles the result of sending the command.
    pub fn handle_send(&mut self, now_us: u64, sent: SendResult) {
        self.report.late |= sent != SendResult::NotSent && !self.lease.holds(now_us);
        let maybe_applied_earlier = self.in_flight || self.applied;
        self.applied = sent == SendResult::Applied;
        self.in_flight |= sent == SendResult::Lost;
        match sent {
            SendResult::Applied | SendResult::Lost => self.phase = Phase::ReadingAfter,
            SendResult::Stale if !maybe_applied_earlier => self.finish(Outcome::Stale),
            SendResult::Refused if !maybe_applied_earlier => self.finish(Outcome::Refused),
            SendResult::Stale | SendResult::Refused => self.finish(Outcome::Unconfirmed),
            SendResult::NotSent => {
                self.report.sends -= 1;
                let outcome = match self.report.sends {
                    0 => Outcome::Unreachable,
                    _ => Outcome::Unconfirmed,
                };
                self.retry(now_us, Phase::Sending, outcome);
            }
        }
    }

    /// Returns the next step of the command; the lease is held at `now_us`.
    fn act(&mut self, now_us: u64) -> DeliveryStep {
        if now_us < self.pause_until_us {
            return DeliveryStep::Wait {
                until_us: self.pause_until_us,
            };
        }
        match self.phase {
            Phase::Acquiring | Phase::ReadingBefore => {
                self.report.token = self.lease.token();
                self.phase = Phase::ReadingBefore;
                DeliveryStep::ReadState
            }
            Phase::Sending => {
                self.report.sends += 1;
                DeliveryStep::Send(Command {
                    token: self.lease.token(),
                    action: self.action.clone(),
                })
            }
            Phase::ReadingAfter => DeliveryStep::ReadState,
            Phase::Releasing(outcome) => self.end(outcome),
            Phase::Ended => self.done(),
        }
    }

    /// Returns to a phase after a delay, or ends with this outcome after too many tries.
    fn retry(&mut self, now_us: u64, phase: Phase, outcome: Outcome) {
        self.tries += 1;
        self.phase = phase;
        self.pause_until_us = now_us + RETRY_DELAY_US;
        if self.tries >= TRIES_MAX {
            self.finish(outcome);
        }
    }

    /// Ends the delivery with this outcome and releases the lease.
    ///
    /// If a command may still be in transit, the lease is left to expire instead.
    fn finish(&mut self, outcome: Outcome) {
        self.phase = Phase::Releasing(outcome);
        if !self.in_flight {
            self.lease.release();
        }
    }

    fn end(&mut self, outcome: Outcome) -> DeliveryStep {
        self.report.outcome = outcome;
        self.phase = Phase::Ended;
        self.done()
    }

    fn done(&self) -> DeliveryStep {
        DeliveryStep::Done(Box::new(self.report.clone()))
    }
}
