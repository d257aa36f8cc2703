//! State machine of a claimed call.

use code::Code;
use store::{Expect, Row, StoreError, StoreVersion};

use crate::{CallResult, ClaimStep, Record, Reply, State};

/// Tries of one write or read before the machine gives up on a failing table service.
const TRIES_MAX: u32 = 4;

/// Delay before the second try; it doubles with every further try.
const BACKOFF_MS: u64 = 50;

/// State machine of one claimed call.
///
/// It writes the claim, lets the call be sent once, and records the outcome. After a write whose
/// result is unknown it reads the row back and compares the attempt ID.
#[derive(Debug, Clone)]
pub struct Claim {
    record: Record,
    now_unix_ms: u64,
    in_progress_ms: u64,
    expect: Expect,
    phase: Phase,
    tries: u32,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Phase {
    /// The claim is being written.
    Claiming,
    /// The claim is stored; the call is being sent.
    Sending,
    /// The outcome is being written; the caller then gets this reply.
    Recording(Reply),
    Ended,
}

impl Claim {
    /// Creates the machine of a call.
    ///
    /// If another attempt already holds the claim without an outcome, the caller is told
    /// [`Code::InProgress`] while that claim is younger than `in_progress_ms`, and
    /// [`Code::MayHaveRun`] after that. In both cases the call is not run again.
    #[must_use]
    pub const fn new(record: Record, now_unix_ms: u64, in_progress_ms: u64) -> Self {
        Self {
            record,
            now_unix_ms,
            in_progress_ms,
            expect: Expect::Absent,
            phase: Phase::Claiming,
            tries: 0,
        }
    }

    /// Starts the machine and returns the first step.
    pub fn start(&mut self) -> ClaimStep {
        self.write()
    }

    /// Takes the result of a write and returns the next step.
    pub fn handle_write(&mut self, result: Result<StoreVersion, StoreError>) -> ClaimStep {
        match result {
            Ok(version) => self.write_confirmed(version),
            Err(StoreError::Conflict(Some(row))) => self.handle_row(&row),
            Err(StoreError::Conflict(None) | StoreError::Unknown) => self.read_back(),
            Err(StoreError::Down) => self.retry_write(Code::ClaimStoreDown),
        }
    }

    /// Takes the result of a read and returns the next step.
    pub fn handle_read(&mut self, result: Result<Option<Row>, StoreError>) -> ClaimStep {
        match result {
            Ok(Some(row)) => self.handle_row(&row),
            Ok(None) => self.handle_absent_row(),
            Err(_) => self.read_back(),
        }
    }

    /// Takes the result of sending the call and returns the next step.
    ///
    /// # Panics
    ///
    /// Panics if the last step was not [`ClaimStep::Send`].
    pub fn handle_send(&mut self, sent: CallResult) -> ClaimStep {
        assert_eq!(self.phase, Phase::Sending, "no call was to be sent");
        let (state, reply) = match sent {
            CallResult::Answered(answer) => {
                let state = State::Done {
                    answer: answer.clone(),
                };
                (state, Reply::Answer(answer))
            }
            CallResult::NotSent(code) => (State::NotRun, Reply::Refuse(code)),
            CallResult::Lost => (State::Unknown, Reply::Refuse(Code::MayHaveRun)),
        };
        self.record.state = state;
        self.phase = Phase::Recording(reply);
        self.tries = 0;
        self.write()
    }

    fn write(&mut self) -> ClaimStep {
        ClaimStep::Write {
            expect: self.expect,
            record: Box::new(self.record.clone()),
            after_ms: self.backoff_ms(),
        }
    }

    fn backoff_ms(&self) -> u64 {
        match self.tries {
            0 => 0,
            tries => BACKOFF_MS << (tries - 1),
        }
    }

    /// Continues after the row is known to hold the record that this machine wrote last.
    fn write_confirmed(&mut self, version: StoreVersion) -> ClaimStep {
        self.expect = Expect::Version(version);
        self.tries = 0;
        match std::mem::replace(&mut self.phase, Phase::Ended) {
            Phase::Claiming => {
                self.phase = Phase::Sending;
                ClaimStep::Send
            }
            Phase::Recording(reply) => ClaimStep::Finish(reply),
            Phase::Sending | Phase::Ended => ClaimStep::Finish(Reply::Refuse(Code::MayHaveRun)),
        }
    }

    fn read_back(&mut self) -> ClaimStep {
        self.tries += 1;
        if self.tries >= TRIES_MAX {
            return self.give_up(Code::ClaimUnknown);
        }
        ClaimStep::Read {
            after_ms: self.backoff_ms(),
        }
    }

    fn retry_write(&mut self, code: Code) -> ClaimStep {
        // A refused first write of a claim is not retried: the caller learns at once that the call
        // did not run. The write of an outcome is, because repeats of the key depend on it.
        if self.phase == Phase::Claiming && self.tries == 0 {
            return self.give_up(code);
        }
        self.tries += 1;
        if self.tries >= TRIES_MAX {
            return self.give_up(Code::ClaimUnknown);
        }
        self.write()
    }

    fn handle_absent_row(&mut self) -> ClaimStep {
        // The write has not taken effect, or not yet. If it is delayed and lands later, the
        // repeated write fails with a conflict that shows the attempt ID of this machine.
        self.expect = Expect::Absent;
        self.retry_write(Code::ClaimUnknown)
    }

    /// Decides on the next step from the row that was found.
    fn handle_row(&mut self, row: &Row) -> ClaimStep {
        let Ok(found) = Record::parse(&row.value) else {
            return self.give_up(Code::MayHaveRun);
        };
        if found.attempt == self.record.attempt {
            return self.handle_own_row(row.version, &found);
        }
        if let Phase::Recording(_) = self.phase {
            // An operator settled the claim as not run and another attempt has claimed the key.
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
        ClaimStep::Finish(self.reply_to_repeat(found))
    }

    fn handle_own_row(&mut self, version: StoreVersion, found: &Record) -> ClaimStep {
        if found.state == self.record.state {
            return self.write_confirmed(version);
        }
        match (&self.phase, &found.state) {
            (Phase::Recording(_), State::Claimed) => {
                // The write of the outcome was lost, or the read was stale.
                self.expect = Expect::Version(version);
                self.tries += 1;
                if self.tries >= TRIES_MAX {
                    return self.give_up(Code::MayHaveRun);
                }
                self.write()
            }
            // Settled by an operator, whose decision is never overwritten.
            _ => self.give_up(Code::MayHaveRun),
        }
    }

    /// Returns the reply for a key that another attempt holds.
    fn reply_to_repeat(&self, found: Record) -> Reply {
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
        self.now_unix_ms.saturating_sub(claimed_unix_ms) < self.in_progress_ms
    }

    /// Ends the machine. A result of the upstream takes precedence over the code.
    fn give_up(&mut self, code: Code) -> ClaimStep {
        match std::mem::replace(&mut self.phase, Phase::Ended) {
            Phase::Recording(reply) => ClaimStep::Finish(reply),
            _ => ClaimStep::Finish(Reply::Refuse(code)),
        }
    }
}
