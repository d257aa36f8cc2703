/// Ping sent on behalf of another member (indirect probe).
#[derive(Debug, Clone)]
pub(crate) struct Relay {
    pub(crate) nonce: u64,
    pub(crate) requester: String,
    pub(crate) requester_nonce: u64,
    /// Time after which an answer is no longer passed on.
    pub(crate) until_us: u64,
}
