use serde::{Deserialize, Serialize};

/// Key that authenticates datagrams between daemons.
///
/// The first key of the list signs; all keys of the list are accepted, which allows rotation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerKey {
    /// Number sent with each datagram.
    pub id: u8,
    /// Secret as hexadecimal digits, at least 16 bytes.
    pub secret_hex: String,
}
