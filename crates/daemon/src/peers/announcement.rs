use std::net::SocketAddr;

/// Newer configuration that a peer has in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Announcement {
    pub(crate) peer: String,
    pub(crate) address: SocketAddr,
    pub(crate) version: u64,
}
