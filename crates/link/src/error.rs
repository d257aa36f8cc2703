use std::fmt;

/// Reason why a request has no complete response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestError {
    /// No byte of the request was sent.
    NotSent(String),
    /// No byte of the request was sent: the server's host refused the connection.
    Refused(String),
    /// No byte of the request was sent: nothing answered within the time limit for connecting.
    Unreachable(String),
    /// No byte of the request was sent, because the caller's check no longer allowed it.
    Withheld,
    /// The request was sent, at least in part, and no complete response arrived.
    Lost(String),
    /// Like [`Self::Lost`], and nothing that was sent was acknowledged any more.
    Unacknowledged(String),
}

impl fmt::Display for RequestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(detail) | Self::Refused(detail) | Self::Unreachable(detail) => {
                write!(f, "not sent: {detail}")
            }
            Self::Withheld => f.write_str("withheld"),
            Self::Lost(detail) | Self::Unacknowledged(detail) => write!(f, "lost: {detail}"),
        }
    }
}

impl std::error::Error for RequestError {}
