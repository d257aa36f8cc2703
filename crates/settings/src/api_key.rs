use std::fmt::Write as _;

use sha2::{Digest as _, Sha256};

/// Returns the SHA-256 of an API key as hexadecimal digits, the form in which keys are stored.
///
/// # Examples
///
/// ```
/// assert!(settings::hash_api_key("abc").starts_with("ba7816bf"));
/// ```
#[must_use]
pub fn hash_api_key(key: &str) -> String {
    let mut hex = String::with_capacity(64);
    for byte in Sha256::digest(key.as_bytes()) {
        let _ = write!(hex, "{byte:02x}");
    }
    hex
}
