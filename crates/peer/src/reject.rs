use std::{error::Error, fmt};

/// Reason why a datagram or frame was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reject {
    /// Shorter or longer than any valid message.
    Size,
    /// Signed with a key that is not accepted.
    UnknownKey,
    /// Signature does not match.
    Forged,
    /// Validly signed, but not decodable or with invalid fields; or of another format.
    Malformed,
    /// Addressed to another member.
    Misdirected,
    /// Received before, or older than the replay window.
    Replayed,
}

impl fmt::Display for Reject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Size => "size out of bounds",
            Self::UnknownKey => "unknown key",
            Self::Forged => "signature does not match",
            Self::Malformed => "malformed",
            Self::Misdirected => "meant for another member",
            Self::Replayed => "replayed",
        })
    }
}

impl Error for Reject {}
