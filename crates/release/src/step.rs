use crate::{Outcome, TableCall};

/// What a change does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Make this call and report its answer.
    Call(TableCall),
    /// The change has ended.
    Done(Outcome),
}
