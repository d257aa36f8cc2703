use crate::{Code, Retry, Run};

/// One row of the table of result codes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry {
    /// The code that the row describes.
    pub code: Code,
    /// Number in answers, logs and the docs.
    pub number: u16,
    /// Short name in snake case.
    pub name: &'static str,
    /// HTTP status of an answer with this code.
    pub http_status: u16,
    /// Whether the request was run.
    pub run: Run,
    /// What the caller may do.
    pub retry: Retry,
    /// What happened, as one sentence.
    pub message: &'static str,
}
