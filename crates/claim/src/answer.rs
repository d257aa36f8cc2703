use serde::{Deserialize, Serialize};

/// Answer of a plain service, as it is recorded and given to repeats of the call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Content type; empty if there was none.
    pub content_type: String,
    /// Body as text.
    pub body: String,
}
