use code::Code;
use store::{Expect, Row, StoreError};

use crate::{ClaimStep, Record, Reply, SendResult, State};

/// Tries of one write or read against a failing store.
const TRIES_MAX: u32 = 4;

/// Pause before the second try; it doubles with every try.
const PAUSE_MS: u64 = 50;

/// State machine of one claimed call.
#[derive(Debug, Clone)]
pub struct Claim {
    record: Record,
    now_unix_ms: u64,
    busy_ms: u64,
    expect: Expect,
    phase: Phase,
    tries: u32,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Phase {
    Claiming,
    Sending,
    Recording(Reply),
    Ended,
}

impl Claim {
    /// Creates the machine of a call.
    ///
    /// A foreign claim younger than `busy_ms` is reported as in progress, an older one as a call
    /// that may have run. Both mean that the call is not run again.
    #[must_use]
    pub const fn new(record: Record, now_unix_ms: u64, busy_ms: u64) -> Self {
        Self {
            record,
            now_unix_ms,
            busy_ms,
            expect: Expect::Absent,
            phase: Phase::Claiming,
            tries: 0,
        }
    }

    /// Returns the first step.
    pub fn start(&mut self) -> ClaimStep {
        self.write()
    }

    /// Takes the result of a write.
    pub fn handle_write(&mut self, result: Result<u64, StoreError>) -> ClaimStep {
        match result {
            Ok(version) => self.confirmed(version),
            Err(StoreError::Conflict(Some(row))) => self.examine(&row),
            Err(StoreError::Conflict(None) | StoreError::Unknown) => self.read_back(),
            Err(StoreError::Down) => self.store_failed(Code::ClaimStoreDown),
        }
    }

    /// Takes the result of a read.
    pub fn handle_read(&mut self, result: Result<Option<Row>, StoreError>) -> ClaimStep {
        match result {
            Ok(Some(row)) => self.examine(&row),
            Ok(None) => self.row_absent(),
            Err(_) => self.read_back(),
        }
    }

    /// Takes what is known about the sent call.
    ///
    /// # Panics
    ///
    /// Panics if the machine did not ask to send.
    pub fn handle_send(&mut self, sent: SendResult) -> ClaimStep {
        assert_eq!(self.phase, Phase::Sending, "nothing was to be sent");
        let (state, verdict) = match sent {
            SendResult::Answered(answer) => {
                let state = State::Done {
                    answer: answer.clone(),
                };
                (state, Reply::Answer(answer))
            }
            SendResult::NotSent(code) => (State::NotRun, Reply::Refuse(code)),
            SendResult::Lost => (State::Unknown, Reply::Refuse(Code::MayHaveRun)),
        };
        self.record.state = state;
        self.phase = Phase::Recording(verdict);
        self.tries = 0;
        self.write()
    }

    fn write(&mut self) -> ClaimStep {
        ClaimStep::Write {
            expect: self.expect,
            record: Box::new(self.record.clone()),
            after_ms: self.pause_ms(),
        }
    }

    fn pause_ms(&self) -> u64 {
        match self.tries {
            0 => 0,
            tries => PAUSE_MS << (tries - 1),
        }
    }

    /// The row holds the record that this machine wrote last.
    fn confirmed(&mut self, version: u64) -> ClaimStep {
        self.expect = Expect::Version(version);
        self.tries = 0;
        match std::mem::replace(&mut self.phase, Phase::Ended) {
            Phase::Claiming => {
                self.phase = Phase::Sending;
                ClaimStep::Send
            }
            Phase::Recording(verdict) => ClaimStep::Finish(verdict),
            Phase::Sending | Phase::Ended => ClaimStep::Finish(Reply::Refuse(Code::MayHaveRun)),
        }
    }

    fn read_back(&mut self) -> ClaimStep {
        self.tries += 1;
        if self.tries >= TRIES_MAX {
            return self.give_up(Code::ClaimUnknown);
        }
        ClaimStep::Read {
            after_ms: self.pause_ms(),
        }
    }

    fn store_failed(&mut self, code: Code) -> ClaimStep {
        // A claim is not worth a wait: the caller learns at once that nothing was run. An outcome
        // is, because repeats of the key depend on it.
        if self.phase == Phase::Claiming && self.tries == 0 {
            return self.give_up(code);
        }
        self.tries += 1;
        if self.tries >= TRIES_MAX {
            return self.give_up(Code::ClaimUnknown);
        }
        self.write()
    }

    fn row_absent(&mut self) -> ClaimStep {
        // The write did not take effect, or has not yet: if it does later, the same write fails
        // with a conflict that shows the own attempt.
        self.expect = Expect::Absent;
        self.store_failed(Code::ClaimUnknown)
    }

    /// Decides by the row that is there.
    fn examine(&mut self, row: &Row) -> ClaimStep {
        let Ok(found) = Record::parse(&row.value) else {
            return self.give_up(Code::MayHaveRun);
        };
        if found.attempt == self.record.attempt {
            return self.examine_own(row.version, &found);
        }
        if let Phase::Recording(_) = self.phase {
            // An operator settled the claim and the key was claimed again: the row is not ours.
            return self.give_up(Code::MayHaveRun);
        }
        if found.state.is_free() {
            self.expect = Expect::Version(row.version);
            self.tries += 1;
            if self.tries >= TRIES_MAX {
                return self.give_up(Code::ClaimUnknown);
            }
            return self.write();
        }
        self.phase = Phase::Ended;
        ClaimStep::Finish(self.judge(found))
    }

    fn examine_own(&mut self, version: u64, found: &Record) -> ClaimStep {
        if found.state == self.record.state {
            return self.confirmed(version);
        }
        match (&self.phase, &found.state) {
            (Phase::Recording(_), State::Claimed) => {
                // The outcome is not there yet, or the read was stale.
                self.expect = Expect::Version(version);
                self.tries += 1;
                if self.tries >= TRIES_MAX {
                    return self.give_up(Code::MayHaveRun);
                }
                self.write()
            }
            // Settled by an operator, whose word stands.
            _ => self.give_up(Code::MayHaveRun),
        }
    }

    /// Judges a foreign record that is not free.
    fn judge(&self, found: Record) -> Reply {
        if found.fingerprint != self.record.fingerprint {
            return Reply::Refuse(Code::KeyReused);
        }
        match found.state {
            State::Done { answer } => Reply::Replay(answer),
            State::Claimed if self.is_recent(found.claimed_unix_ms) => {
                Reply::Refuse(Code::InProgress)
            }
            _ => Reply::Refuse(Code::MayHaveRun),
        }
    }

    const fn is_recent(&self, claimed_unix_ms: u64) -> bool {
        self.now_unix_ms.saturating_sub(claimed_unix_ms) < self.busy_ms
    }

    /// Ends the machine; what was learnt from the upstream goes before the given code.
    fn give_up(&mut self, code: Code) -> ClaimStep {
        match std::mem::replace(&mut self.phase, Phase::Ended) {
            Phase::Recording(verdict) => ClaimStep::Finish(verdict),
            _ => ClaimStep::Finish(Reply::Refuse(code)),
        }
    }
}
