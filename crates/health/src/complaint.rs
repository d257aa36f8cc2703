use serde::{Deserialize, Serialize};

use crate::Symptom;

/// Observation of one daemon that an upstream doesn't answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Complaint {
    /// Hash of the upstream's name.
    pub upstream: u64,
    /// Start time of the upstream's process, in milliseconds since 1970; 0 if it is unknown.
    pub started_ms: u64,
    /// What was observed.
    pub symptom: Symptom,
    /// Time since the observation, in milliseconds.
    pub age_ms: u16,
    /// Time for which nothing had come from the upstream when it was observed, in milliseconds.
    pub silent_ms: u16,
}
