/// Ping whose answer is awaited.
#[derive(Debug, Clone)]
pub(crate) struct Probe {
    pub(crate) name: String,
    pub(crate) nonce: u64,
    pub(crate) sent_us: u64,
    /// Others were asked to probe.
    pub(crate) indirect: bool,
}
