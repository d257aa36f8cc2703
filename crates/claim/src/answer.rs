use serde::{Deserialize, Serialize};

/// HTTP response of a plain service, as recorded in the claim and replayed to repeats of the call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Value of the `Content-Type` header; empty if there was none.
    pub content_type: String,
    /// Body as text.
    pub body: String,
}
