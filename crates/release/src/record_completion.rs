use crate::{
    CurrentRelease, TableAnswer, TableCall,
    record_write::{RecordWrite, Written},
};

/// Completes the row `release/N` from `release/current`, for a reader that finds it missing.
#[derive(Debug, Clone)]
pub struct RecordCompletion {
    write: Option<RecordWrite>,
}

impl RecordCompletion {
    /// Creates the completion of the last change.
    #[must_use]
    pub fn new(current: &CurrentRelease) -> Self {
        Self {
            write: current.record.as_ref().map(RecordWrite::new),
        }
    }

    /// Returns the next call, none at the end.
    #[must_use]
    pub fn call(&self) -> Option<TableCall> {
        self.write.as_ref().map(RecordWrite::call)
    }

    /// Takes the answer of the call.
    pub fn handle_answer(&mut self, answer: &TableAnswer) {
        if let Some(write) = &mut self.write
            && !matches!(write.handle_answer(answer), Written::Again)
        {
            self.write = None;
        }
    }
}
