use std::fmt;

/// Reason why a request has no complete response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestError {
    /// No byte of the request was sent.
    NotSent(String),
    /// No byte of the request was sent, because the caller's check no longer allowed it.
    Withheld,
    /// The request was sent, at least in part, and no complete response arrived.
    Lost(String),
}

impl fmt::Display for RequestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(detail) => write!(f, "not sent: {detail}"),
            Self::Withheld => f.write_str("withheld"),
            Self::Lost(detail) => write!(f, "lost: {detail}"),
        }
    }
}

impl std::error::Error for RequestError {}
