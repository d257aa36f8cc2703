use serde::{Deserialize, Serialize};

use crate::{Fingerprint, State};

/// Claim as it stands in the table service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Idempotency key.
    pub key: String,
    /// Unique attempt; recognises the own write when its answer was lost.
    pub attempt: String,
    /// Host that holds the claim.
    pub host: String,
    /// What the call asks for.
    pub fingerprint: Fingerprint,
    /// Wall-clock time of the claim, for operators and for the age of a claim.
    pub claimed_unix_ms: u64,
    /// State.
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

    /// Sets the wall-clock time of the claim.
    #[must_use]
    pub const fn with_claimed_unix_ms(mut self, claimed_unix_ms: u64) -> Self {
        self.claimed_unix_ms = claimed_unix_ms;
        self
    }

    /// Sets the state.
    #[must_use]
    pub fn with_state(mut self, state: State) -> Self {
        self.state = state;
        self
    }

    /// Reads a record from the value of a row.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is not a record.
    pub fn parse(value: &str) -> Result<Self, serde_json::Error> {
        serde_json::from_str(value)
    }

    /// Writes the record as the value of a row.
    #[must_use]
    pub fn to_value(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}
