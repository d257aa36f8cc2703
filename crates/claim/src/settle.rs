use store::{Expect, Row, StoreError};

use crate::{Record, SettleOutcome, SettleStep, State};

/// Tries of one write or read against a failing store.
const TRIES_MAX: u32 = 4;

/// Pause before the second try; it doubles with every try.
const PAUSE_MS: u64 = 50;

/// State machine of an operator's decision about one claim.
///
/// The claim is read once and changed by one conditional write, so that the holder's own record and
/// another operator's decision are never overwritten.
#[derive(Debug, Clone)]
pub struct Settle {
    decision: State,
    busy_ms: u64,
    pending: Option<(u64, Record)>,
    tries: u32,
    /// Whether a write may have taken effect.
    may_be_written: bool,
}

impl Settle {
    /// Creates the machine of a decision.
    ///
    /// A claim whose holder may still be at work, which is younger than `busy_ms`, is left alone.
    #[must_use]
    pub fn new(by: &str, reason: &str, ran: bool, at_unix_ms: u64, busy_ms: u64) -> Self {
        let decision = State::Settled {
            by: by.to_owned(),
            reason: reason.to_owned(),
            ran,
            at_unix_ms,
        };
        Self {
            decision,
            busy_ms,
            pending: None,
            tries: 0,
            may_be_written: false,
        }
    }

    /// Returns the first step.
    #[must_use]
    pub const fn start(&self) -> SettleStep {
        SettleStep::Read { after_ms: 0 }
    }

    /// Takes the result of a read.
    pub fn handle_read(&mut self, result: Result<Option<Row>, StoreError>) -> SettleStep {
        match result {
            Ok(Some(row)) => self.examine(&row),
            // A claim is never deleted: after a first read, its absence is a stale answer.
            Ok(None) if self.pending.is_some() => self.write_again(),
            Ok(None) => SettleStep::Done(SettleOutcome::Absent),
            Err(_) => self.read_again(),
        }
    }

    /// Takes the result of a write.
    pub fn handle_write(&mut self, result: Result<u64, StoreError>) -> SettleStep {
        match result {
            Ok(_) => SettleStep::Done(SettleOutcome::Applied),
            Err(StoreError::Conflict(Some(row))) => self.examine(&row),
            Err(StoreError::Conflict(None)) => self.read_again(),
            Err(StoreError::Down) => self.write_again(),
            Err(StoreError::Unknown) => {
                self.may_be_written = true;
                self.read_again()
            }
        }
    }

    fn examine(&mut self, row: &Row) -> SettleStep {
        let Ok(found) = Record::parse(&row.value) else {
            return SettleStep::Done(SettleOutcome::Unreadable);
        };
        if self.is_same_decision(&found.state) {
            return SettleStep::Done(SettleOutcome::Applied);
        }
        if let Some((version, _)) = self.pending {
            if row.version > version {
                return SettleStep::Done(SettleOutcome::Conflict(Box::new(found)));
            }
            return self.write_again();
        }
        if !found.state.needs_operator() {
            return SettleStep::Done(SettleOutcome::Conflict(Box::new(found)));
        }
        if found.state == State::Claimed && self.is_recent(found.claimed_unix_ms) {
            return SettleStep::Done(SettleOutcome::InProgress(Box::new(found)));
        }
        let record = found.with_state(self.decision.clone());
        self.pending = Some((row.version, record));
        self.tries = 0;
        self.write()
    }

    /// The time is not compared: a retry by another run of the program has a later one.
    fn is_same_decision(&self, found: &State) -> bool {
        match (found, &self.decision) {
            (
                State::Settled {
                    by, reason, ran, ..
                },
                State::Settled {
                    by: own_by,
                    reason: own_reason,
                    ran: own_ran,
                    ..
                },
            ) => (by, reason, ran) == (own_by, own_reason, own_ran),
            _ => false,
        }
    }

    const fn is_recent(&self, claimed_unix_ms: u64) -> bool {
        match &self.decision {
            State::Settled { at_unix_ms, .. } => {
                at_unix_ms.saturating_sub(claimed_unix_ms) < self.busy_ms
            }
            _ => true,
        }
    }

    fn write(&self) -> SettleStep {
        match &self.pending {
            Some((version, record)) => SettleStep::Write {
                expect: Expect::Version(*version),
                record: Box::new(record.clone()),
                after_ms: self.pause_ms(),
            },
            None => SettleStep::Read {
                after_ms: self.pause_ms(),
            },
        }
    }

    fn write_again(&mut self) -> SettleStep {
        self.tries += 1;
        if self.tries >= TRIES_MAX {
            return self.give_up();
        }
        self.write()
    }

    fn read_again(&mut self) -> SettleStep {
        self.tries += 1;
        if self.tries >= TRIES_MAX {
            return self.give_up();
        }
        SettleStep::Read {
            after_ms: self.pause_ms(),
        }
    }

    const fn give_up(&self) -> SettleStep {
        if self.may_be_written {
            SettleStep::Done(SettleOutcome::Unknown)
        } else {
            SettleStep::Done(SettleOutcome::Down)
        }
    }

    const fn pause_ms(&self) -> u64 {
        match self.tries {
            0 => 0,
            tries => PAUSE_MS << (tries - 1),
        }
    }
}
