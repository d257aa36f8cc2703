use serde::{Deserialize, Serialize};

/// Purpose of a datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Kind {
    /// Asks for an acknowledgement.
    Ping {
        nonce: u64,
        /// Name after which the sender wants records, if the views differ.
        after: String,
    },
    /// Answers a ping.
    Ack { nonce: u64 },
    /// Asks to ping a member on the sender's behalf.
    PingReq { nonce: u64, target: String },
    /// Tells that the member of a `PingReq` has answered.
    IndirectAck { nonce: u64 },
    /// Carries only application payloads.
    Data,
}
