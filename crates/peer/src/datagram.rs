use serde::{Deserialize, Serialize};

use crate::{Keys, Member, Reject, State, keys::DATAGRAM, kind::Kind, leaving_name::LeavingName};

/// Message between two daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Datagram {
    /// The sender's own record: name, incarnation, configuration version.
    pub(crate) sender: Member,
    pub(crate) sequence: u64,
    pub(crate) to: String,
    /// Incarnation of the receiver as the sender knows it, 0 if it does not.
    pub(crate) to_incarnation: u64,
    pub(crate) kind: Kind,
    /// Digest of the sender's view.
    pub(crate) digest: u32,
    /// Records that are news.
    pub(crate) updates: Vec<Member>,
    /// Records in name order, sent because the views differ.
    pub(crate) fill: Vec<Member>,
    pub(crate) leaving: Vec<LeavingName>,
    pub(crate) payloads: Vec<Vec<u8>>,
}

impl Datagram {
    /// Returns the signed bytes.
    pub(crate) fn seal(&self, keys: &Keys) -> Vec<u8> {
        // Encoding into a vector fails only for types that this one does not contain.
        keys.seal(DATAGRAM, &postcard::to_stdvec(self).unwrap_or_default())
    }

    /// Checks and decodes signed bytes.
    pub(crate) fn open(keys: &Keys, bytes: &[u8], bytes_max: usize) -> Result<Self, Reject> {
        if bytes.len() > bytes_max {
            return Err(Reject::Size);
        }
        let body = keys.open(DATAGRAM, bytes)?;
        let (datagram, rest) =
            postcard::take_from_bytes::<Self>(body).map_err(|_| Reject::Malformed)?;
        let mut records = datagram.updates.iter().chain(&datagram.fill);
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
