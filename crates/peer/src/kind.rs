use serde::{Deserialize, Serialize};

/// Purpose of a datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Kind {
    /// Asks the receiver for an acknowledgement.
    Ping {
        nonce: u64,
        /// If the views differ, the sender wants the records that follow this name.
        after: String,
    },
    /// Answers a ping.
    Ack { nonce: u64 },
    /// Asks the receiver to ping a member on the sender's behalf (indirect probe).
    PingReq { nonce: u64, target: String },
    /// Reports that the target of a `PingReq` has answered.
    IndirectAck { nonce: u64 },
    /// Carries only application payloads.
    Data,
}
