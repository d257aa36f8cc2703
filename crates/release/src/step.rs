use crate::{Outcome, TableCall};

/// Next step of an [`Apply`](crate::Apply) machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Make this call and pass its answer to `handle_answer`.
    Call(TableCall),
    /// The change has ended with this outcome.
    Done(Outcome),
}
