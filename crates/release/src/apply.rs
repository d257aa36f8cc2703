use crate::{
    CURRENT_KEY, CurrentRelease, Note, Outcome, Record, Step, StoredRow, TableAnswer, TableCall,
    check, record_key,
    record_write::{MAX_REPEATS, RecordWrite, Written},
};

/// Applies a note: says which call of the table service comes next.
///
/// Order of the calls: read `release/current`; complete the record of the last change in its own
/// row; replace `release/current` under the condition of the version that was read; write the own
/// record to its row. The record in `release/current` is only replaced after its own row exists,
/// so an accepted change can't lose its record.
///
/// A second `Apply` with the same attempt number continues one whose outcome is unknown.
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
    CompleteLast {
        write: RecordWrite,
        replacement: Replacement,
    },
    Replace(Replacement),
    /// A later version is in force: the own row tells whether this attempt made the one after
    /// the note's base.
    ReadRecord {
        version_in_force: u64,
    },
    WriteRecord {
        write: RecordWrite,
        version: u64,
    },
    Done(Outcome),
}

#[derive(Debug, Clone)]
struct Replacement {
    expect: Option<u64>,
    next: CurrentRelease,
}

impl Apply {
    /// Creates the change; `attempt` has to be unique for each change that is not a continuation.
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

    /// Marks the change as the continuation of one whose outcome is unknown.
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
                Written::Again => State::WriteRecord { write, version },
                Written::Yes => applied(version, true),
                Written::No => applied(version, false),
            },
            State::Done(outcome) => State::Done(outcome),
        };
    }

    fn read_current(&mut self, answer: TableAnswer) -> State {
        match answer {
            TableAnswer::Row(row) => self.decide(row),
            TableAnswer::Unknown if self.repeat() => State::ReadCurrent,
            _ => self.unreachable(),
        }
    }

    /// Decides on the row `release/current`, from a read or from a conflict.
    fn decide(&mut self, row: Option<StoredRow>) -> State {
        let expect = row.as_ref().map(|row| row.version);
        let current = match row
            .map(|row| CurrentRelease::from_text(&row.value))
            .transpose()
        {
            Ok(current) => current.unwrap_or_default(),
            Err(message) => return self.unreadable(message),
        };
        if current.attempt() == Some(&self.attempt) {
            return Self::accepted(&current);
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
            // The base was in force when the write was sent, so this read is stale.
            return if self.repeat() {
                State::ReadCurrent
            } else {
                self.unreachable()
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
            Written::Again => State::CompleteLast { write, replacement },
            Written::Yes => State::Replace(replacement),
            Written::No => self.unreachable(),
        }
    }

    fn replace(&mut self, replacement: &Replacement, answer: TableAnswer) -> State {
        match answer {
            TableAnswer::Written => Self::accepted(&replacement.next),
            // The row that is there decides: an earlier write of this attempt, or another change.
            TableAnswer::Conflict(row) => self.conflict(row),
            TableAnswer::Unknown => {
                self.maybe_written = true;
                if self.repeat() {
                    State::ReadCurrent
                } else {
                    self.unreachable()
                }
            }
            _ => self.unreachable(),
        }
    }

    fn conflict(&mut self, row: Option<StoredRow>) -> State {
        if row.is_none() {
            let message = "row disappeared between two calls".to_owned();
            return self.unreadable(message);
        }
        if self.repeat() {
            self.decide(row)
        } else {
            self.unreachable()
        }
    }

    fn read_record(&mut self, version_in_force: u64, answer: TableAnswer) -> State {
        match answer {
            TableAnswer::Row(Some(row)) => match Record::from_text(&row.value) {
                Ok(record) if record.attempt == self.attempt => applied(record.version, true),
                Ok(_) => State::Done(Outcome::Conflict {
                    version: version_in_force,
                }),
                Err(error) => self.unreadable(error.to_string()),
            },
            // The version after the base is in force without a record of its own yet; its record
            // in `release/current` has another attempt number. A later version without that row
            // is a stale read.
            TableAnswer::Row(None) if version_in_force == self.note.base + 1 => {
                State::Done(Outcome::Conflict {
                    version: version_in_force,
                })
            }
            TableAnswer::Row(None) | TableAnswer::Unknown if self.repeat() => {
                State::ReadRecord { version_in_force }
            }
            _ => self.unreachable(),
        }
    }

    /// The own change is in force: its record goes to its own row.
    fn accepted(current: &CurrentRelease) -> State {
        match &current.record {
            Some(record) => State::WriteRecord {
                write: RecordWrite::new(record),
                version: record.version,
            },
            None => applied(current.config.version, false),
        }
    }

    fn repeat(&mut self) -> bool {
        self.repeats += 1;
        self.repeats <= MAX_REPEATS
    }

    fn unreadable(&self, message: String) -> State {
        State::Done(if self.maybe_written {
            Outcome::Unknown
        } else {
            Outcome::Unreadable(message)
        })
    }

    const fn unreachable(&self) -> State {
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
