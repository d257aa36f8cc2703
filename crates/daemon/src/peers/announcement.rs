use std::net::SocketAddr;

/// Announcement by a peer that it has a newer configuration in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Announcement {
    pub(crate) peer: String,
    pub(crate) address: SocketAddr,
    pub(crate) version: u64,
}
