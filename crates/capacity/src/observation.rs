/// What the host that orders servers knows about a service at one time.
#[derive(Debug, Clone, Copy)]
pub struct Observation<'a> {
    /// Demand of the whole fleet; `None` if too few hosts told theirs lately.
    pub demand: Option<Demand>,
    /// Whether the list of servers is up to date. Nothing is taken away by an old list.
    pub is_current: bool,
    /// Servers by availability zone, sorted by its name.
    pub zones: &'a [ZoneServers],
}

/// Demand for a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    /// Number of servers that the present work would keep fully busy.
    pub busy_servers: f64,
}

/// Servers of a service in one availability zone.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ZoneServers {
    /// Availability zone.
    pub zone: String,
    /// Servers that the platform doesn't reclaim.
    pub lasting: ServerCount,
    /// Servers that the platform may reclaim.
    pub reclaimable: ServerCount,
}

/// Servers of one kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServerCount {
    /// Servers that take new requests.
    pub live: u32,
    /// Servers that finish their requests and leave.
    pub leaving: u32,
}

impl ZoneServers {
    /// Returns the servers of one kind.
    #[must_use]
    pub const fn count(&self, reclaimable: bool) -> ServerCount {
        if reclaimable {
            self.reclaimable
        } else {
            self.lasting
        }
    }
}
