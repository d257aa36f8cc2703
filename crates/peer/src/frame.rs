use serde::{Deserialize, Serialize};

use crate::{Keys, Reject, keys::FRAME};

/// Signed message on a TCP connection between two daemons.
///
/// The server starts with a challenge. The request echoes the nonce of the challenge, and the
/// answer echoes the nonce of the request, so a recorded frame is rejected on any other connection.
///
/// # Examples
///
/// ```
/// use peer::{Frame, Keys, Reject};
/// use settings::PeerKey;
///
/// let key = PeerKey { id: 1, secret_hex: "00112233445566778899aabbccddeeff".to_owned() };
/// let keys = Keys::new(&[key]).unwrap();
/// let challenge = Frame {
///     from: "entry-1".to_owned(),
///     to: String::new(),
///     echoed_nonce: 0,
///     nonce: 42,
///     body: Vec::new(),
/// };
/// let mut bytes = challenge.seal(&keys);
/// assert_eq!(Frame::open(&keys, &bytes), Ok(challenge));
/// bytes[5] ^= 1;
/// assert_eq!(Frame::open(&keys, &bytes), Err(Reject::Forged));
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// Name of the sender.
    pub from: String,
    /// Name of the receiver; empty in a challenge, as the client is not known yet.
    pub to: String,
    /// Nonce of the frame that this one answers, 0 in a challenge.
    #[serde(rename = "answers")]
    pub echoed_nonce: u64,
    /// Random number chosen by the sender.
    pub nonce: u64,
    /// Payload, empty in a challenge.
    pub body: Vec<u8>,
}

impl Frame {
    /// Encodes and signs the frame.
    #[must_use]
    pub fn seal(&self, keys: &Keys) -> Vec<u8> {
        keys.seal(FRAME, &postcard::to_stdvec(self).unwrap_or_default())
    }

    /// Verifies the signature and decodes the frame.
    ///
    /// # Errors
    ///
    /// Returns why the bytes are not a frame signed by a peer.
    pub fn open(keys: &Keys, bytes: &[u8]) -> Result<Self, Reject> {
        postcard::from_bytes(keys.open(FRAME, bytes)?).map_err(|_| Reject::Malformed)
    }
}
