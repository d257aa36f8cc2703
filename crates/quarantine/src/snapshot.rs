use std::{error::Error, fmt};

use data_encoding::BASE64_NOPAD;
use serde::{Deserialize, Serialize};

use crate::{LossReport, Verdict};

/// Largest size of the lost requests in a snapshot, in numbers. A row holds 64 KB, and the verdicts
/// and answered parts are bounded too.
const LOSS_NUMBERS_MAX: usize = 1_024;

/// Numbers of a lost request besides its parts.
const LOSS_NUMBERS: usize = 3;

/// Numbers that a loss with the fingerprint of its request has besides.
const REQUEST_NUMBERS: usize = 2;

/// Evidence and verdicts of a daemon, for daemons that start later.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Unix time at which it was taken, in milliseconds.
    pub taken_unix_ms: u64,
    /// Lost requests: those repeated most often, then all, the latest first.
    pub losses: Vec<LossReport>,
    /// What is known of parts.
    pub verdicts: Vec<Verdict>,
    /// Parts of the lost requests to which an answer began, with the time since the last one in
    /// milliseconds.
    pub answered: Vec<(u64, u32)>,
}

impl Snapshot {
    /// Creates a snapshot with as many of the lost requests as its bound admits.
    pub(crate) fn new<L>(taken_unix_ms: u64, losses: L, verdicts: Vec<Verdict>) -> Self
    where
        L: Iterator<Item = LossReport>,
    {
        let mut numbers = 0;
        let losses = losses.take_while(|loss| {
            let request = if loss.request == 0 {
                0
            } else {
                REQUEST_NUMBERS
            };
            numbers += LOSS_NUMBERS + request + loss.parts.len();
            numbers <= LOSS_NUMBERS_MAX
        });
        Self {
            taken_unix_ms,
            losses: losses.collect(),
            verdicts,
            answered: Vec::new(),
        }
    }

    /// Returns the snapshot as text for a row of the store.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't be encoded.
    pub fn to_text(&self) -> Result<String, SnapshotError> {
        let bytes = postcard::to_stdvec(self).map_err(|error| SnapshotError(error.to_string()))?;
        Ok(BASE64_NOPAD.encode(&bytes))
    }

    /// Reads a snapshot from the text of a row.
    ///
    /// # Errors
    ///
    /// Returns an error if another version of the program, or someone else, wrote the text.
    pub fn from_text(text: &str) -> Result<Self, SnapshotError> {
        let bytes = BASE64_NOPAD.decode(text.as_bytes());
        let bytes = bytes.map_err(|error| SnapshotError(error.to_string()))?;
        postcard::from_bytes(&bytes).map_err(|error| SnapshotError(error.to_string()))
    }
}

/// Snapshot that can't be encoded or decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SnapshotError(String);

impl fmt::Display for SnapshotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "snapshot of the quarantine: {}", self.0)
    }
}

impl Error for SnapshotError {}
