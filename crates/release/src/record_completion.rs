use crate::{
    CurrentRelease, TableAnswer, TableCall,
    record_write::{RecordWrite, WriteStatus},
};

/// State machine that writes the row `release/N` of the current version if it is missing.
///
/// The operator's program that applied the release may have stopped before this write. The record
/// is taken from `release/current`.
#[derive(Debug, Clone)]
pub struct RecordCompletion {
    write: Option<RecordWrite>,
}

impl RecordCompletion {
    /// Creates the machine for the record in `release/current`.
    #[must_use]
    pub fn new(current: &CurrentRelease) -> Self {
        Self {
            write: current.record.as_ref().map(RecordWrite::new),
        }
    }

    /// Returns the next call, or `None` at the end.
    #[must_use]
    pub fn call(&self) -> Option<TableCall> {
        self.write.as_ref().map(RecordWrite::call)
    }

    /// Takes the answer of the call.
    pub fn handle_answer(&mut self, answer: &TableAnswer) {
        if let Some(write) = &mut self.write
            && !matches!(write.handle_answer(answer), WriteStatus::Repeat)
        {
            self.write = None;
        }
    }
}
