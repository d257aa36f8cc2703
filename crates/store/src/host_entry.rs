use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Entry of the platform's host list, which lags behind reality.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Name of the host.
    pub name: String,
    /// Address of the host; for a host of ours, its peer address.
    pub address: SocketAddr,
    /// State of the host.
    pub state: HostState,
}

/// State of a host in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// Running.
    Live,
    /// About to be removed.
    Leaving,
}
