use std::net::SocketAddr;

/// Entry of the platform's host list for a host that runs a daemon.
///
/// # Examples
///
/// ```
/// use peer::ListedHost;
///
/// let host = ListedHost::new("entry-1", "10.0.0.1:7000".parse().unwrap()).with_leaving(true);
/// assert!(host.leaving);
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedHost {
    /// Name of the host.
    pub name: String,
    /// Address of the host for other daemons.
    pub address: SocketAddr,
    /// Region of the host; empty if the list doesn't contain it.
    pub region: String,
    /// Availability zone of the host; empty if the list doesn't contain it.
    pub zone: String,
    /// Whether the platform is about to remove the host.
    pub leaving: bool,
}

impl ListedHost {
    /// Creates an entry of a host that is not leaving.
    #[must_use]
    pub fn new(name: &str, address: SocketAddr) -> Self {
        Self {
            name: name.to_owned(),
            address,
            region: String::new(),
            zone: String::new(),
            leaving: false,
        }
    }

    /// Sets region and availability zone.
    #[must_use]
    pub fn with_locality(mut self, region: &str, zone: &str) -> Self {
        region.clone_into(&mut self.region);
        zone.clone_into(&mut self.zone);
        self
    }

    /// Sets whether the host is leaving.
    #[must_use]
    pub const fn with_leaving(mut self, leaving: bool) -> Self {
        self.leaving = leaving;
        self
    }
}
