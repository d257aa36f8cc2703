/// Ping sent on behalf of another member.
#[derive(Debug, Clone)]
pub(crate) struct Relay {
    pub(crate) nonce: u64,
    pub(crate) requester: String,
    pub(crate) requester_nonce: u64,
    pub(crate) until_us: u64,
}
