/// Ping of the probe round that has not been answered yet.
#[derive(Debug, Clone)]
pub(crate) struct Probe {
    pub(crate) name: String,
    pub(crate) nonce: u64,
    pub(crate) sent_us: u64,
    /// Whether other members were asked for an indirect probe.
    pub(crate) indirect: bool,
}
