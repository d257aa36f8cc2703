use serde::{Deserialize, Serialize};

/// Key that authenticates datagrams between daemons.
///
/// The first key of the list signs datagrams; every key of the list is accepted, so that keys can
/// be rotated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerKey {
    /// Key ID, sent with each datagram.
    pub id: u8,
    /// Secret of at least 16 bytes, as hexadecimal digits.
    pub secret_hex: String,
}
