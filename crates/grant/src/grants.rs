use serde::{Deserialize, Serialize};

/// Answer of a home to a demand report: the slots that the daemon may use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grants {
    /// Time of the report that is answered, by the daemon's clock.
    ///
    /// The daemon counts the lease from this time, and the home from when it received the report,
    /// which is later. The daemon's lease therefore ends first, however long messages take and
    /// whatever offset the clocks have.
    pub sent_us: u64,
    /// Number that changes with every restart of the home.
    pub epoch: u32,
    /// Duration of the lease.
    pub lease_ms: u32,
    /// One entry for each upstream.
    pub items: Vec<GrantItem>,
}

/// Grant of slots of one upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantItem {
    /// Key of the upstream.
    pub upstream: u32,
    /// Sequence number of the grant; grows within an epoch.
    pub sequence: u32,
    /// Number of requests that the daemon may run at once.
    pub slots: u16,
}
