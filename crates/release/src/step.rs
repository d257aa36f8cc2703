use crate::{Call, Outcome};

/// What a change does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Make this call and report its answer.
    Call(Call),
    /// The change has ended.
    Done(Outcome),
}
