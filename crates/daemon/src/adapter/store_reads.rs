use settings::{Config, Upstream};
use store::StoreVersion;

/// Result of a read of the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigRead {
    /// Version of the store up to which the read is complete, and after which to ask next.
    pub store_version: StoreVersion,
    /// Whether the configuration was read as it is, because its changes weren't asked for or aren't
    /// known.
    pub is_whole: bool,
    /// Configuration, if it has changed and can be parsed; without upstreams.
    pub config: Option<Config>,
}

/// Result of a read of the upstreams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamRead {
    /// Version of the store up to which the read is complete, and after which to ask next.
    pub store_version: StoreVersion,
    /// Whether the rows are all that there are, rather than those that have changed.
    pub is_whole: bool,
    /// Rows in any order.
    pub rows: Vec<UpstreamRow>,
}

/// State of an upstream's row in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamRow {
    /// Name of the upstream.
    pub name: String,
    /// Version of the store at the last change of the row.
    pub store_version: StoreVersion,
    /// Upstream; `None` if the row was removed or can't be parsed.
    pub upstream: Option<Upstream>,
}
