use serde::{Deserialize, Serialize};

/// Lease as it is stored in the table service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Name of the holder, for display only.
    pub holder: String,
    /// Unique id of the acquisition; identifies the holder's own write when its answer was lost.
    pub attempt: String,
    /// Fencing token; grows with every acquisition and stays through renewals.
    pub token: u64,
    /// Length of the lease, counted from the acquisition or the last renewal.
    pub length_us: u64,
    /// Number of renewals; distinguishes the writes of one acquisition.
    pub renewals: u64,
    /// Whether the holder released the lease; the row stays, so that the token keeps growing.
    pub released: bool,
}

impl Record {
    /// Parses a record from the value of a row.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is not a record.
    pub fn parse(value: &str) -> Result<Self, serde_json::Error> {
        serde_json::from_str(value)
    }

    /// Serializes the record as the value of a row.
    #[must_use]
    pub fn to_value(&self) -> String {
        // Serializing plain data with string keys never fails.
        serde_json::to_string(self).unwrap_or_default()
    }
}

/// Returns the key of the lease's row in the table service.
#[must_use]
pub fn row_key(upstream: &str) -> String {
    format!("lease/{upstream}")
}

/// Returns the key of the audit row of a command.
#[must_use]
pub fn audit_key(upstream: &str, token: u64) -> String {
    format!("audit/command/{upstream}/{token}")
}
