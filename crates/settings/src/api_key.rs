//! Hashing of API keys.

use std::fmt::Write as _;

use sha2::{Digest as _, Sha256};

/// Returns the SHA-256 of an API key as hexadecimal digits. Configurations hold only this hash.
///
/// # Examples
///
/// ```
/// assert!(settings::hash_api_key("abc").starts_with("ba7816bf"));
/// ```
#[must_use]
pub fn hash_api_key(key: &str) -> String {
    hex(&Sha256::digest(key.as_bytes()))
}

/// Encodes bytes as lower-case hexadecimal digits.
pub(crate) fn hex(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(2 * bytes.len());
    for byte in bytes {
        let _ = write!(text, "{byte:02x}");
    }
    text
}
