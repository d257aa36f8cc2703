use serde::{Deserialize, Serialize};

use crate::Action;

/// Command to an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// Fencing token of the sender's lease.
    pub token: u64,
    /// What is set.
    pub action: Action,
}
