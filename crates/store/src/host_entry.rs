//! Entries of the platform's host list.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Entry of the platform's host list. The list lags behind the actual state of the hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Name of the host.
    pub name: String,
    /// Address of the host. For a host that runs this daemon, it is the peer address.
    pub address: SocketAddr,
    /// State of the host.
    pub state: HostState,
}

/// State of a host in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// The host is running.
    Live,
    /// The host is about to be removed.
    Leaving,
}
