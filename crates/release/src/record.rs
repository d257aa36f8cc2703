use serde::{Deserialize, Serialize};
use settings::Config;

use crate::Note;

/// Entry of the audit trail: who changed what, when, and with which result.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Version that the change made.
    pub version: u64,
    /// Unique number of the attempt, by which its operator recognises it.
    pub attempt: String,
    /// Unix time at which the operator's program wrote the change, for people only.
    pub written_unix_ms: u64,
    /// Note of the change, with its author and reason.
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

    /// Writes the record as the value of its row.
    #[must_use]
    pub fn to_text(&self) -> String {
        // Plain data with text keys always converts.
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Reads the value of a row.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is no record.
    pub fn from_text(text: &str) -> Result<Self, serde_json::Error> {
        serde_json::from_str(text)
    }
}
