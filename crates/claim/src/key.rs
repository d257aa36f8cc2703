use sha2::{Digest as _, Sha256};

use crate::fingerprint::hex;

/// Longest idempotency key; callers use UUIDs of 36 characters.
pub const KEY_MAX_BYTES: usize = 255;

/// Reads the value of an `Idempotency-Key` header.
///
/// The header's draft asks for a quoted string; many callers send the bare key, which is accepted.
///
/// # Examples
///
/// ```
/// assert_eq!(claim::parse_key("\"r-1\""), Some("r-1"));
/// assert_eq!(claim::parse_key("r-1"), Some("r-1"));
/// assert_eq!(claim::parse_key("\"\""), None);
/// ```
#[must_use]
pub fn parse_key(value: &str) -> Option<&str> {
    let value = value.trim();
    let key = match value.strip_prefix('"') {
        Some(rest) => rest.strip_suffix('"')?,
        None => value,
    };
    let valid = !key.is_empty()
        && key.len() <= KEY_MAX_BYTES
        && key
            .bytes()
            .all(|byte| byte.is_ascii_graphic() && byte != b'"' && byte != b'\\');
    valid.then_some(key)
}

/// Returns the prefix of the rows of an account's claims.
#[must_use]
pub fn row_prefix(account: &str) -> String {
    format!("claim/{account}/")
}

/// Returns the key of the claim's row in the table service.
///
/// The idempotency key is hashed, so that any character is safe in a path.
#[must_use]
pub fn row_key(account: &str, key: &str) -> String {
    format!("claim/{account}/{}", hex(&Sha256::digest(key.as_bytes())))
}
