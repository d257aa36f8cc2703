use std::net::SocketAddr;

/// Entry of the platform's host list for a host of ours.
///
/// # Examples
///
/// ```
/// use peer::ListedHost;
///
/// let seed = ListedHost::new("entry-1", "10.0.0.1:7000".parse().unwrap()).with_leaving(true);
/// assert!(seed.leaving);
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedHost {
    /// Name of the host.
    pub name: String,
    /// Peer address of the host.
    pub address: SocketAddr,
    /// Whether the platform is about to remove the host.
    pub leaving: bool,
}

impl ListedHost {
    /// Creates the entry of a live host.
    #[must_use]
    pub fn new(name: &str, address: SocketAddr) -> Self {
        Self {
            name: name.to_owned(),
            address,
            leaving: false,
        }
    }

    /// Sets whether the host is leaving.
    #[must_use]
    pub const fn with_leaving(mut self, leaving: bool) -> Self {
        self.leaving = leaving;
        self
    }
}
