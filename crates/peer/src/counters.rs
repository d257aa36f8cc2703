use serde::Serialize;

use crate::Reject;

/// Counters of the datagrams that a daemon exchanged with its peers since its start.
///
/// Operators find them in the status of a daemon:
///
/// ```text
/// curl -s http://HOST:ADMIN_PORT/admin/status | jq .peer_traffic
/// ```
///
/// `unknown_key` and `forged` grow while the keys of hosts differ, as during a rotation in the
/// wrong order: the new key has to be accepted everywhere before the first host signs with it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes sent, with 28 bytes of IP and UDP headers for each datagram.
    pub sent_bytes: u64,
    /// Datagrams received and accepted.
    pub received: u64,
    /// Bytes received and accepted, with headers.
    pub received_bytes: u64,
    /// Datagrams dropped because they are too short or too long.
    pub size: u64,
    /// Datagrams dropped because their key is not accepted.
    pub unknown_key: u64,
    /// Datagrams dropped because their signature does not match.
    pub forged: u64,
    /// Datagrams dropped because they can't be decoded.
    pub malformed: u64,
    /// Datagrams dropped because they are addressed to another member.
    pub misdirected: u64,
    /// Datagrams dropped because they were received before.
    pub replayed: u64,
}

impl Counters {
    pub(crate) const fn count_reject(&mut self, reject: Reject) {
        let counter = match reject {
            Reject::Size => &mut self.size,
            Reject::UnknownKey => &mut self.unknown_key,
            Reject::Forged => &mut self.forged,
            Reject::Malformed => &mut self.malformed,
            Reject::Misdirected => &mut self.misdirected,
            Reject::Replayed => &mut self.replayed,
        };
        *counter += 1;
    }
}
