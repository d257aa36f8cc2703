use std::fmt::Write as _;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// What a call asks for; a repeat of a key must ask for the same.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fingerprint {
    /// HTTP method.
    pub method: String,
    /// Path with the service's name.
    pub path: String,
    /// SHA-256 of the body as hexadecimal digits.
    pub body_sha256: String,
}

impl Fingerprint {
    /// Creates the fingerprint of a call.
    #[must_use]
    pub fn new(method: &str, path: &str, body: &[u8]) -> Self {
        Self {
            method: method.to_owned(),
            path: path.to_owned(),
            body_sha256: hex(&Sha256::digest(body)),
        }
    }
}

pub(crate) fn hex(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(2 * bytes.len());
    for byte in bytes {
        let _ = write!(text, "{byte:02x}");
    }
    text
}
