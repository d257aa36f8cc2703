use serde::{Deserialize, Serialize};

use crate::Action;

/// Command to an upstream, as it is sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// Fencing token of the sender's lease.
    pub token: u64,
    /// State to set.
    pub action: Action,
}
