use std::{error::Error, fmt};

use crate::Row;

/// Failure of a call to the platform's table service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The service refused the call or could not be reached; nothing was applied.
    Down,
    /// The answer was lost; a write may have taken effect, so the row has to be read back.
    Unknown,
    /// The condition of the write does not hold; contains the existing row, if any.
    Conflict(Option<Row>),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Down => f.write_str("table service is down, nothing was applied"),
            Self::Unknown => f.write_str("answer of the table service was lost"),
            Self::Conflict(Some(row)) => write!(f, "row {} is at version {}", row.key, row.version),
            Self::Conflict(None) => f.write_str("row does not exist"),
        }
    }
}

impl Error for StoreError {}
