use serde::{Deserialize, Serialize};

use crate::{Keys, Member, Reject, State, keys::DATAGRAM, kind::Kind, leaving_name::LeavingName};

/// Membership message between two daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Datagram {
    /// The sender's record of itself: name, address, state, incarnation, configuration version.
    pub(crate) sender: Member,
    pub(crate) sequence: u64,
    pub(crate) to: String,
    /// Incarnation of the receiver that the sender knows, 0 if none.
    pub(crate) to_incarnation: u64,
    pub(crate) kind: Kind,
    /// Digest of the sender's view, see `Membership::digest`.
    pub(crate) digest: u32,
    /// Records that changed recently and are spread by gossip.
    pub(crate) updates: Vec<Member>,
    /// Records in name order, sent to synchronise views whose digests differ (anti-entropy).
    #[serde(rename = "fill")]
    pub(crate) sync_records: Vec<Member>,
    /// Upstreams that were seen leaving.
    pub(crate) leaving: Vec<LeavingName>,
    /// Application payloads for the receiver.
    pub(crate) payloads: Vec<Vec<u8>>,
}

impl Datagram {
    /// Encodes and signs the datagram.
    pub(crate) fn seal(&self, keys: &Keys) -> Vec<u8> {
        // Encoding into a vector fails only for types that `Datagram` does not contain.
        keys.seal(DATAGRAM, &postcard::to_stdvec(self).unwrap_or_default())
    }

    /// Verifies the signature, decodes the datagram and checks its records.
    pub(crate) fn open(keys: &Keys, bytes: &[u8], bytes_max: usize) -> Result<Self, Reject> {
        if bytes.len() > bytes_max {
            return Err(Reject::Size);
        }
        let body = keys.open(DATAGRAM, bytes)?;
        let (datagram, rest) =
            postcard::take_from_bytes::<Self>(body).map_err(|_| Reject::Malformed)?;
        let mut records = datagram.updates.iter().chain(&datagram.sync_records);
        if !rest.is_empty()
            || !datagram.sender.is_valid()
            || datagram.sender.incarnation == 0
            || !matches!(datagram.sender.state, State::Live | State::Leaving)
            || records.any(|record| !record.is_valid() || record.incarnation == 0)
        {
            return Err(Reject::Malformed);
        }
        Ok(datagram)
    }
}

/// Returns the encoded size of a value.
pub(crate) fn encoded_bytes<T>(value: &T) -> usize
where
    T: Serialize,
{
    postcard::experimental::serialized_size(value).unwrap_or(usize::MAX)
}
