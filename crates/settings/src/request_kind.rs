use serde::{Deserialize, Serialize};

/// Whether the requests of a route may be repeated, and whether their answers are streams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestKind {
    /// Request that may run more than once.
    Idempotent,
    /// Request that must run at most once.
    NonIdempotent,
    /// Event stream whose request must run at most once.
    Stream,
    /// Event stream that another upstream can continue after the last event received.
    ResumableStream,
}

impl RequestKind {
    /// Returns whether the answer is an event stream.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// Returns whether a request that may have run may be sent again.
    #[must_use]
    pub const fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}
