use crate::{Record, TableAnswer, TableCall, record_key};

/// Repeats of a call whose answer was lost.
pub(crate) const MAX_REPEATS: u32 = 5;

/// Write of one record to its own row, once and for good.
#[derive(Debug, Clone)]
pub(crate) struct RecordWrite {
    key: String,
    value: String,
    repeats: u32,
}

/// State of a [`RecordWrite`].
pub(crate) enum Written {
    /// Make the same call again.
    Again,
    /// The row is there.
    Yes,
    /// The store is down or its answers are lost.
    No,
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

    /// Takes the answer. A conflict means that another writer completed the same record.
    pub(crate) fn handle_answer(&mut self, answer: &TableAnswer) -> Written {
        match answer {
            TableAnswer::Written | TableAnswer::Conflict(Some(_)) => Written::Yes,
            TableAnswer::Unknown if self.repeats < MAX_REPEATS => {
                self.repeats += 1;
                Written::Again
            }
            _ => Written::No,
        }
    }
}
