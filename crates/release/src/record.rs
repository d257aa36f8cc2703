use serde::{Deserialize, Serialize};
use settings::Config;

use crate::Note;

/// Audit record of a release: who changed what, when, and with which result.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Configuration version that the change made.
    pub version: u64,
    /// Unique ID of the attempt. After an unknown outcome, the operator's program finds out by it
    /// whether its own change took effect.
    pub attempt: String,
    /// Unix time at which the operator's program wrote the change. For display only: nothing is
    /// decided by it.
    pub written_unix_ms: u64,
    /// Release note of the change, with its author and reason.
    pub note: Note,
    /// SHA-256 of the resulting configuration.
    pub digest: String,
}

impl Record {
    /// Creates the record of a change.
    #[must_use]
    pub fn new(note: Note, result: &Config, attempt: &str, written_unix_ms: u64) -> Self {
        Self {
            version: result.version,
            attempt: attempt.to_owned(),
            written_unix_ms,
            note,
            digest: result.digest(),
        }
    }

    /// Serializes the record to the value of its row.
    #[must_use]
    pub fn to_text(&self) -> String {
        // Plain data with string keys always serializes.
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Parses the value of a row.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not a valid record.
    pub fn from_text(text: &str) -> Result<Self, serde_json::Error> {
        serde_json::from_str(text)
    }
}
