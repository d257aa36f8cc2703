use crate::{
    Answer, Call, Current,
    record_write::{RecordWrite, Written},
};

/// Completes the row `release/N` from `release/current`, for a reader that finds it missing.
#[derive(Debug, Clone)]
pub struct Complete {
    write: Option<RecordWrite>,
}

impl Complete {
    /// Creates the completion of the last change.
    #[must_use]
    pub fn new(current: &Current) -> Self {
        Self {
            write: current.record.as_ref().map(RecordWrite::new),
        }
    }

    /// Returns the next call, none at the end.
    #[must_use]
    pub fn call(&self) -> Option<Call> {
        self.write.as_ref().map(RecordWrite::call)
    }

    /// Takes the answer of the call.
    pub fn answer(&mut self, answer: &Answer) {
        if let Some(write) = &mut self.write
            && !matches!(write.answer(answer), Written::Again)
        {
            self.write = None;
        }
    }
}
