use serde::{Deserialize, Serialize};

use crate::{Fingerprint, State};

/// Value of a claim row in the table service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Idempotency key.
    pub key: String,
    /// Unique ID of the attempt. A host whose write got no answer reads the row back and finds by
    /// this ID whether the write took effect.
    pub attempt: String,
    /// Host that made the claim.
    pub host: String,
    /// Fingerprint of the claimed request.
    pub fingerprint: Fingerprint,
    /// Unix time of the claim; operators see it, and the age of the claim is computed from it.
    pub claimed_unix_ms: u64,
    /// State of the claim.
    #[serde(flatten)]
    pub state: State,
}

impl Record {
    /// Creates a record in state [`State::Claimed`].
    #[must_use]
    pub fn new(key: &str, attempt: &str, host: &str, fingerprint: Fingerprint) -> Self {
        Self {
            key: key.to_owned(),
            attempt: attempt.to_owned(),
            host: host.to_owned(),
            fingerprint,
            claimed_unix_ms: 0,
            state: State::Claimed,
        }
    }

    /// Sets the Unix time of the claim.
    #[must_use]
    pub const fn with_claimed_unix_ms(mut self, claimed_unix_ms: u64) -> Self {
        self.claimed_unix_ms = claimed_unix_ms;
        self
    }

    /// Sets the state of the claim.
    #[must_use]
    pub fn with_state(mut self, state: State) -> Self {
        self.state = state;
        self
    }

    /// Parses the value of a claim row.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is not a valid record.
    pub fn parse(value: &str) -> Result<Self, serde_json::Error> {
        serde_json::from_str(value)
    }

    /// Serializes the record to the value of a claim row.
    #[must_use]
    pub fn to_value(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}
