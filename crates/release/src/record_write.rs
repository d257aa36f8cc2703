//! Write of a release record to its own row.

use crate::{Record, TableAnswer, TableCall, record_key};

/// Maximum number of repeats of calls whose answer was lost.
pub(crate) const MAX_REPEATS: u32 = 5;

/// State machine that writes one record to its row `release/N`, which never changes afterwards.
#[derive(Debug, Clone)]
pub(crate) struct RecordWrite {
    key: String,
    value: String,
    repeats: u32,
}

/// Progress of a [`RecordWrite`].
pub(crate) enum WriteStatus {
    /// Make the same call again.
    Repeat,
    /// The row exists.
    Done,
    /// The table service is down, or too many answers were lost.
    Failed,
}

impl RecordWrite {
    pub(crate) fn new(record: &Record) -> Self {
        Self {
            key: record_key(record.version),
            value: record.to_text(),
            repeats: 0,
        }
    }

    pub(crate) fn call(&self) -> TableCall {
        TableCall::Write {
            key: self.key.clone(),
            expect: None,
            value: self.value.clone(),
        }
    }

    /// Takes the answer to the call. A conflict means that another writer has already written the
    /// same record.
    pub(crate) fn handle_answer(&mut self, answer: &TableAnswer) -> WriteStatus {
        match answer {
            TableAnswer::Written | TableAnswer::Conflict(Some(_)) => WriteStatus::Done,
            TableAnswer::Unknown if self.repeats < MAX_REPEATS => {
                self.repeats += 1;
                WriteStatus::Repeat
            }
            _ => WriteStatus::Failed,
        }
    }
}
