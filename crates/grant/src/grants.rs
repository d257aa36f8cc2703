use serde::{Deserialize, Serialize};

/// Answer of a home to a report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grants {
    /// Time of the report that is answered, on the daemon's clock.
    ///
    /// The daemon counts the lease from here and the home from its own, later time. The daemon's
    /// lease therefore ends first, however long a message is under way and whatever the clocks say.
    pub sent_us: u64,
    /// Number that changes with every start of the home.
    pub epoch: u32,
    /// Duration of the lease.
    pub lease_ms: u32,
    /// One entry for each upstream.
    pub items: Vec<GrantItem>,
}

/// Slots of one upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantItem {
    /// Key of the upstream.
    pub upstream: u32,
    /// Sequence number of the grant, growing within an epoch.
    pub sequence: u32,
    /// Requests that the daemon may run at once.
    pub slots: u16,
}
