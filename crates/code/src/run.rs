use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether an upstream ran the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Run {
    /// No byte of the request reached an upstream.
    No,
    /// The upstream answered.
    Yes,
    /// Bytes were sent and no complete answer was received.
    Unknown,
}

impl Run {
    /// Returns the lower-case name used in answers and logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Yes => "yes",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Run {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
