use std::sync::Arc;

/// Live host, as the membership view reports it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Name of the host.
    pub name: Arc<str>,
    /// Region of the host.
    pub region: Arc<str>,
}

impl Peer {
    /// Creates a peer.
    #[must_use]
    pub fn new(name: &str, region: &str) -> Self {
        Self {
            name: name.into(),
            region: region.into(),
        }
    }
}
