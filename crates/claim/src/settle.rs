//! State machine of an operator's decision about a claim.

use store::{Expect, Row, StoreError, StoreVersion};

use crate::{Record, SettleOutcome, SettleStep, State};

/// Tries of one write or read before the machine gives up on a failing table service.
const TRIES_MAX: u32 = 4;

/// Delay before the second try; it doubles with every further try.
const BACKOFF_MS: u64 = 50;

/// State machine of an operator's decision about one claim.
///
/// The claim is read once and changed by one conditional write, so that neither an outcome recorded
/// by the claiming host nor the decision of another operator is overwritten.
#[derive(Debug, Clone)]
pub struct Settle {
    decision: State,
    in_progress_ms: u64,
    /// Version of the row that was read, and the record that replaces it.
    pending: Option<(StoreVersion, Record)>,
    tries: u32,
    /// Whether a write got no answer and may have taken effect.
    maybe_written: bool,
}

impl Settle {
    /// Creates the machine of a decision.
    ///
    /// A claim younger than `in_progress_ms` is left alone, since its call may still be running.
    #[must_use]
    pub fn new(by: &str, reason: &str, ran: bool, at_unix_ms: u64, in_progress_ms: u64) -> Self {
        let decision = State::Settled {
            by: by.to_owned(),
            reason: reason.to_owned(),
            ran,
            at_unix_ms,
        };
        Self {
            decision,
            in_progress_ms,
            pending: None,
            tries: 0,
            maybe_written: false,
        }
    }

    /// Starts the machine and returns the first step.
    #[must_use]
    pub const fn start(&self) -> SettleStep {
        SettleStep::Read { after_ms: 0 }
    }

    /// Takes the result of a read and returns the next step.
    pub fn handle_read(&mut self, result: Result<Option<Row>, StoreError>) -> SettleStep {
        match result {
            Ok(Some(row)) => self.handle_row(&row),
            // Claims are never deleted: the row was there before, so this read is stale.
            Ok(None) if self.pending.is_some() => self.retry_write(),
            Ok(None) => SettleStep::Done(SettleOutcome::Absent),
            Err(_) => self.retry_read(),
        }
    }

    /// Takes the result of a write and returns the next step.
    pub fn handle_write(&mut self, result: Result<StoreVersion, StoreError>) -> SettleStep {
        match result {
            Ok(_) => SettleStep::Done(SettleOutcome::Applied),
            Err(StoreError::Conflict(Some(row))) => self.handle_row(&row),
            Err(StoreError::Conflict(None)) => self.retry_read(),
            Err(StoreError::Down) => self.retry_write(),
            Err(StoreError::Unknown) => {
                self.maybe_written = true;
                self.retry_read()
            }
        }
    }

    fn handle_row(&mut self, row: &Row) -> SettleStep {
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
            return self.retry_write();
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

    /// Returns whether the row already holds this decision.
    ///
    /// The time is not compared: when the operator runs the command again, it is later.
    fn is_same_decision(&self, found: &State) -> bool {
        match (found, &self.decision) {
            (
                State::Settled {
                    by, reason, ran, ..
                },
                State::Settled {
                    by: decided_by,
                    reason: decided_reason,
                    ran: decided_ran,
                    ..
                },
            ) => (by, reason, ran) == (decided_by, decided_reason, decided_ran),
            _ => false,
        }
    }

    const fn is_recent(&self, claimed_unix_ms: u64) -> bool {
        match &self.decision {
            State::Settled { at_unix_ms, .. } => {
                at_unix_ms.saturating_sub(claimed_unix_ms) < self.in_progress_ms
            }
            _ => true,
        }
    }

    fn write(&self) -> SettleStep {
        match &self.pending {
            Some((version, record)) => SettleStep::Write {
                expect: Expect::Version(*version),
                record: Box::new(record.clone()),
                after_ms: self.backoff_ms(),
            },
            None => SettleStep::Read {
                after_ms: self.backoff_ms(),
            },
        }
    }

    fn retry_write(&mut self) -> SettleStep {
        self.tries += 1;
        if self.tries >= TRIES_MAX {
            return self.give_up();
        }
        self.write()
    }

    fn retry_read(&mut self) -> SettleStep {
        self.tries += 1;
        if self.tries >= TRIES_MAX {
            return self.give_up();
        }
        SettleStep::Read {
            after_ms: self.backoff_ms(),
        }
    }

    const fn give_up(&self) -> SettleStep {
        if self.maybe_written {
            SettleStep::Done(SettleOutcome::Unknown)
        } else {
            SettleStep::Done(SettleOutcome::Down)
        }
    }

    const fn backoff_ms(&self) -> u64 {
        match self.tries {
            0 => 0,
            tries => BACKOFF_MS << (tries - 1),
        }
    }
}
