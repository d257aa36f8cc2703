use std::fmt;

use hmac::{Hmac, KeyInit as _, Mac as _};
use settings::PeerKey;
use sha2::Sha256;

use crate::{KeyError, Reject};

/// Format number of datagrams; an incompatible format gets another number.
pub(crate) const DATAGRAM: u8 = 3;

/// Format number of frames; the signature covers it, so no signed frame is a valid datagram.
pub(crate) const FRAME: u8 = 2;

/// Size of the header: format number and key id, one byte each.
pub(crate) const HEAD_BYTES: usize = 2;

/// Size of the tag: half of the HMAC-SHA256 output, the shortest that RFC 2104 recommends.
pub(crate) const TAG_BYTES: usize = 16;

/// Size of the shortest accepted secret.
const SECRET_MIN_BYTES: usize = 16;

/// Keys that authenticate messages between daemons. All keys verify; the first one signs.
///
/// To rotate a key, list the new key second on every host, then move it to the first place on every
/// host, and only then remove the old key.
///
/// # Examples
///
/// ```
/// use peer::{KeyError, Keys};
/// use settings::PeerKey;
///
/// let key = |id, secret: &str| PeerKey { id, secret_hex: secret.to_owned() };
/// let old = key(1, "00112233445566778899aabbccddeeff");
/// let new = key(2, "ffeeddccbbaa99887766554433221100");
/// assert!(Keys::new(&[new, old.clone()]).is_ok());
/// assert_eq!(Keys::new(&[old, key(1, "00")]).unwrap_err(), KeyError::Duplicate { id: 1 });
/// ```
#[derive(Clone)]
pub struct Keys {
    keys: Vec<(u8, Hmac<Sha256>)>,
}

impl Keys {
    /// Creates the keys from the settings of a host.
    ///
    /// # Errors
    ///
    /// Returns the first error in the list.
    pub fn new(keys: &[PeerKey]) -> Result<Self, KeyError> {
        if keys.is_empty() {
            return Err(KeyError::Missing);
        }
        let mut list: Vec<(u8, Hmac<Sha256>)> = Vec::with_capacity(keys.len());
        for key in keys {
            let id = key.id;
            if list.iter().any(|(other, _)| *other == id) {
                return Err(KeyError::Duplicate { id });
            }
            let secret = parse_hex(&key.secret_hex).ok_or(KeyError::Secret { id })?;
            let hmac = Hmac::new_from_slice(&secret).map_err(|_| KeyError::Secret { id })?;
            list.push((id, hmac));
        }
        Ok(Self { keys: list })
    }

    /// Signs a body; returns header, body and tag.
    pub(crate) fn seal(&self, format: u8, body: &[u8]) -> Vec<u8> {
        let (id, hmac) = &self.keys[0];
        let mut bytes = Vec::with_capacity(HEAD_BYTES + body.len() + TAG_BYTES);
        bytes.extend_from_slice(&[format, *id]);
        bytes.extend_from_slice(body);
        let tag = hmac.clone().chain_update(&bytes).finalize().into_bytes();
        bytes.extend_from_slice(&tag[..TAG_BYTES]);
        bytes
    }

    /// Verifies the tag and returns the body.
    pub(crate) fn open<'a>(&self, format: u8, bytes: &'a [u8]) -> Result<&'a [u8], Reject> {
        if bytes.len() <= HEAD_BYTES + TAG_BYTES {
            return Err(Reject::Size);
        }
        if bytes[0] != format {
            return Err(Reject::Malformed);
        }
        let (signed, tag) = bytes.split_at(bytes.len() - TAG_BYTES);
        let key = self.keys.iter().find(|(id, _)| *id == bytes[1]);
        let (_, hmac) = key.ok_or(Reject::UnknownKey)?;
        hmac.clone()
            .chain_update(signed)
            .verify_truncated_left(tag)
            .map_err(|_| Reject::Forged)?;
        Ok(&signed[HEAD_BYTES..])
    }
}

impl fmt::Debug for Keys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ids = self.keys.iter().map(|(id, _)| id);
        f.debug_list().entries(ids).finish()
    }
}

fn parse_hex(text: &str) -> Option<Vec<u8>> {
    if !text.is_ascii() || !text.len().is_multiple_of(2) || text.len() / 2 < SECRET_MIN_BYTES {
        return None;
    }
    (0..text.len())
        .step_by(2)
        .map(|index| u8::from_str_radix(&text[index..index + 2], 16).ok())
        .collect()
}
