use crate::{Code, Retry, Run};

/// Entry of the table of result codes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry {
    /// Code that the entry describes.
    pub code: Code,
    /// Number used in answers, logs and documentation.
    pub number: u16,
    /// Short name in snake case.
    pub name: &'static str,
    /// HTTP status of an answer with this code.
    pub http_status: u16,
    /// Whether an upstream ran the request.
    pub run: Run,
    /// Whether the caller may retry, and how.
    pub retry: Retry,
    /// One sentence that says what happened; sent to the caller.
    pub message: &'static str,
}
