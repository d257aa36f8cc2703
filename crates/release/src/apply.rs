//! State machine that applies a release note.

use store::StoreVersion;

use crate::{
    CURRENT_KEY, CurrentRelease, Note, Outcome, Record, Step, StoredRow, TableAnswer, TableCall,
    check, record_key,
    record_write::{MAX_REPEATS, RecordWrite, WriteStatus},
};

/// State machine that applies a release note by calls of the table service.
///
/// The calls are, in this order:
///
/// 1. read `release/current`;
/// 2. write the record of the last change to its row `release/N`, if it is missing;
/// 3. replace `release/current`, on the condition that it still has the version that was read;
/// 4. write the record of this change to its row.
///
/// A record in `release/current` is only replaced after it exists in its own row, so the record of
/// an accepted change can't be lost.
///
/// After an unknown outcome, another `Apply` with the same attempt ID continues the change.
#[derive(Debug, Clone)]
pub struct Apply {
    note: Note,
    attempt: String,
    now_unix_ms: u64,
    state: State,
    repeats: u32,
    /// Whether a write of `release/current` may have taken effect.
    maybe_written: bool,
}

#[derive(Debug, Clone)]
enum State {
    ReadCurrent,
    /// Writes the record of the last change to its own row.
    CompleteLast {
        write: RecordWrite,
        replacement: Replacement,
    },
    Replace(Replacement),
    /// A later version is in force: the row `release/N` of the version after the base of the note
    /// shows whether this attempt made that version.
    ReadRecord {
        version_in_force: u64,
    },
    WriteRecord {
        write: RecordWrite,
        version: u64,
    },
    Done(Outcome),
}

/// Conditional write of `release/current`.
#[derive(Debug, Clone)]
struct Replacement {
    expect: Option<StoreVersion>,
    next: CurrentRelease,
}

impl Apply {
    /// Creates the machine. `attempt` has to be unique, except to continue an earlier change.
    #[must_use]
    pub const fn new(note: Note, attempt: String, now_unix_ms: u64) -> Self {
        Self {
            note,
            attempt,
            now_unix_ms,
            state: State::ReadCurrent,
            repeats: 0,
            maybe_written: false,
        }
    }

    /// Marks the change as the continuation of an attempt whose outcome is unknown.
    #[must_use]
    pub const fn resumed(mut self) -> Self {
        self.maybe_written = true;
        self
    }

    /// Returns the next call, or the outcome.
    #[must_use]
    pub fn step(&self) -> Step {
        let call = match &self.state {
            State::ReadCurrent => TableCall::Read {
                key: CURRENT_KEY.to_owned(),
            },
            State::CompleteLast { write, .. } | State::WriteRecord { write, .. } => write.call(),
            State::Replace(replacement) => TableCall::Write {
                key: CURRENT_KEY.to_owned(),
                expect: replacement.expect,
                value: replacement.next.to_text(),
            },
            State::ReadRecord { .. } => TableCall::Read {
                key: record_key(self.note.base + 1),
            },
            State::Done(outcome) => return Step::Done(outcome.clone()),
        };
        Step::Call(call)
    }

    /// Takes the answer to the call of the last step.
    pub fn handle_answer(&mut self, answer: TableAnswer) {
        let state = std::mem::replace(&mut self.state, State::ReadCurrent);
        self.state = match state {
            State::ReadCurrent => self.read_current(answer),
            State::CompleteLast { write, replacement } => {
                self.complete_last(write, replacement, &answer)
            }
            State::Replace(replacement) => self.replace(&replacement, answer),
            State::ReadRecord { version_in_force } => self.read_record(version_in_force, answer),
            State::WriteRecord { mut write, version } => match write.handle_answer(&answer) {
                WriteStatus::Repeat => State::WriteRecord { write, version },
                WriteStatus::Done => applied(version, true),
                WriteStatus::Failed => applied(version, false),
            },
            State::Done(outcome) => State::Done(outcome),
        };
    }

    fn read_current(&mut self, answer: TableAnswer) -> State {
        match answer {
            TableAnswer::Row(row) => self.handle_current(row),
            TableAnswer::Unknown if self.try_repeat() => State::ReadCurrent,
            _ => self.give_up(),
        }
    }

    /// Decides on the next step from the row `release/current`, returned by a read or a conflict.
    fn handle_current(&mut self, row: Option<StoredRow>) -> State {
        let expect = row.as_ref().map(|row| row.version);
        let current = match row
            .map(|row| CurrentRelease::from_text(&row.value))
            .transpose()
        {
            Ok(current) => current.unwrap_or_default(),
            Err(message) => return self.invalid_row(message),
        };
        if current.attempt() == Some(&self.attempt) {
            return Self::start_record_write(&current);
        }
        let version = current.config.version;
        if version > self.note.base && self.maybe_written {
            return State::ReadRecord {
                version_in_force: version,
            };
        }
        if version > self.note.base {
            return State::Done(Outcome::Conflict { version });
        }
        if version < self.note.base && self.maybe_written {
            // The base version was in force when the write was sent, so this read is stale.
            return if self.try_repeat() {
                State::ReadCurrent
            } else {
                self.give_up()
            };
        }
        let config = match check(&self.note, &current.config) {
            Ok(config) => config,
            Err(problems) => return State::Done(Outcome::Mismatch(problems)),
        };
        let record = Record::new(self.note.clone(), &config, &self.attempt, self.now_unix_ms);
        let replacement = Replacement {
            expect,
            next: CurrentRelease {
                config,
                record: Some(record),
            },
        };
        match &current.record {
            Some(last) => State::CompleteLast {
                write: RecordWrite::new(last),
                replacement,
            },
            None => State::Replace(replacement),
        }
    }

    fn complete_last(
        &mut self,
        mut write: RecordWrite,
        replacement: Replacement,
        answer: &TableAnswer,
    ) -> State {
        match write.handle_answer(answer) {
            WriteStatus::Repeat => State::CompleteLast { write, replacement },
            WriteStatus::Done => State::Replace(replacement),
            WriteStatus::Failed => self.give_up(),
        }
    }

    fn replace(&mut self, replacement: &Replacement, answer: TableAnswer) -> State {
        match answer {
            TableAnswer::Written => Self::start_record_write(&replacement.next),
            // The row that exists shows whether an earlier write of this attempt or another change
            // took effect.
            TableAnswer::Conflict(row) => self.handle_conflict(row),
            TableAnswer::Unknown => {
                self.maybe_written = true;
                if self.try_repeat() {
                    State::ReadCurrent
                } else {
                    self.give_up()
                }
            }
            _ => self.give_up(),
        }
    }

    fn handle_conflict(&mut self, row: Option<StoredRow>) -> State {
        if row.is_none() {
            let message = "row disappeared between two calls".to_owned();
            return self.invalid_row(message);
        }
        if self.try_repeat() {
            self.handle_current(row)
        } else {
            self.give_up()
        }
    }

    fn read_record(&mut self, version_in_force: u64, answer: TableAnswer) -> State {
        match answer {
            TableAnswer::Row(Some(row)) => match Record::from_text(&row.value) {
                Ok(record) if record.attempt == self.attempt => applied(record.version, true),
                Ok(_) => State::Done(Outcome::Conflict {
                    version: version_in_force,
                }),
                Err(error) => self.invalid_row(error.to_string()),
            },
            // The version after the base is in force, but its row `release/N` is not written yet.
            // Its record in `release/current` has another attempt ID, so another change was first.
            // If a later version is in force, a missing row means that this read is stale.
            TableAnswer::Row(None) if version_in_force == self.note.base + 1 => {
                State::Done(Outcome::Conflict {
                    version: version_in_force,
                })
            }
            TableAnswer::Row(None) | TableAnswer::Unknown if self.try_repeat() => {
                State::ReadRecord { version_in_force }
            }
            _ => self.give_up(),
        }
    }

    /// Continues after this change is in force: its record is written to its own row.
    fn start_record_write(current: &CurrentRelease) -> State {
        match &current.record {
            Some(record) => State::WriteRecord {
                write: RecordWrite::new(record),
                version: record.version,
            },
            None => applied(current.config.version, false),
        }
    }

    /// Counts a repeated call and returns whether it is allowed.
    fn try_repeat(&mut self) -> bool {
        self.repeats += 1;
        self.repeats <= MAX_REPEATS
    }

    fn invalid_row(&self, message: String) -> State {
        State::Done(if self.maybe_written {
            Outcome::Unknown
        } else {
            Outcome::Unreadable(message)
        })
    }

    const fn give_up(&self) -> State {
        State::Done(if self.maybe_written {
            Outcome::Unknown
        } else {
            Outcome::Down
        })
    }
}

const fn applied(version: u64, recorded: bool) -> State {
    State::Done(Outcome::Applied { version, recorded })
}

#[cfg(test)]
#[path = "apply_tests.rs"]
mod tests;
