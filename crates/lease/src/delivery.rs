use store::{Row, StoreError};

use crate::{
    Action, Command, DeliveryStep, Lease, LeaseEnd, LeaseStep, Outcome, Report, SendResult,
    UpstreamState,
};

/// Sends and reads of one delivery against a failing upstream.
const TRIES_MAX: u32 = 4;

/// Pause between two tries.
const PAUSE_US: u64 = 200_000;

/// Renewals of one delivery; a store that takes half a lease for a write would renew without end.
const RENEWALS_MAX: u32 = 8;

/// State machine of one command under a lease: acquire, read, send, read back, release.
#[derive(Debug, Clone)]
pub struct Delivery {
    lease: Lease,
    renewals: u32,
    action: Action,
    phase: Phase,
    report: Report,
    /// Whether a command may still reach the upstream after its answer was given up.
    in_flight: bool,
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
    /// Creates the machine of one command under this lease.
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

    /// Returns what to do next.
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

    /// Takes the result of a read of the lease's row.
    pub fn handle_read(&mut self, now_us: u64, result: Result<Option<Row>, StoreError>) {
        self.lease.handle_read(now_us, result);
    }

    /// Takes the result of a write of the lease's row.
    pub fn handle_write(&mut self, now_us: u64, result: Result<u64, StoreError>) {
        self.lease.handle_write(now_us, result);
    }

    /// Takes the upstream's state; none if it could not be read.
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

    /// Takes what is known about the sent command.
    pub fn handle_send(&mut self, now_us: u64, sent: SendResult) {
        self.report.late |= sent != SendResult::NotSent && !self.lease.holds(now_us);
        let earlier = self.in_flight || self.applied;
        self.applied = sent == SendResult::Applied;
        self.in_flight |= sent == SendResult::Lost;
        match sent {
            SendResult::Applied | SendResult::Lost => self.phase = Phase::ReadingAfter,
            SendResult::Stale if !earlier => self.finish(Outcome::Stale),
            SendResult::Refused if !earlier => self.finish(Outcome::Refused),
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

    /// Acts under a lease that was valid at this time.
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

    fn retry(&mut self, now_us: u64, phase: Phase, outcome: Outcome) {
        self.tries += 1;
        self.phase = phase;
        self.pause_until_us = now_us + PAUSE_US;
        if self.tries >= TRIES_MAX {
            self.finish(outcome);
        }
    }

    /// A lease is released early only if no command of it can arrive later.
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
