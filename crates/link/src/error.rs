use std::fmt;

/// Why a call has no whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestError {
    /// No byte of the call left this host.
    NotSent(String),
    /// The call was sent, and its answer did not arrive whole.
    Lost(String),
}

impl fmt::Display for RequestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(detail) => write!(f, "not sent: {detail}"),
            Self::Lost(detail) => write!(f, "lost: {detail}"),
        }
    }
}

impl std::error::Error for RequestError {}
