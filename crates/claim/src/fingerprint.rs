use std::fmt::Write as _;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// Identity of a request. A repeat of an idempotency key must have the same fingerprint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fingerprint {
    /// HTTP method.
    pub method: String,
    /// Path, including the service name.
    pub path: String,
    /// SHA-256 of the body as hexadecimal digits.
    pub body_sha256: String,
}

impl Fingerprint {
    /// Computes the fingerprint of a request.
    #[must_use]
    pub fn new(method: &str, path: &str, body: &[u8]) -> Self {
        Self {
            method: method.to_owned(),
            path: path.to_owned(),
            body_sha256: hex(&Sha256::digest(body)),
        }
    }
}

/// Encodes bytes as lower-case hexadecimal digits.
pub(crate) fn hex(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(2 * bytes.len());
    for byte in bytes {
        let _ = write!(text, "{byte:02x}");
    }
    text
}
