use serde::{Deserialize, Serialize};

/// State of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Answers probes.
    Live,
    /// Did not answer; declared dead after a time unless it refutes the suspicion.
    Suspect,
    /// Finishes its work and accepts no more; never live again under the same incarnation.
    Leaving,
    /// Did not answer and did not refute the suspicion in time.
    Dead,
}
