//! Idempotency keys and the keys of claim rows.

use sha2::{Digest as _, Sha256};

use crate::fingerprint::hex;

/// Longest accepted idempotency key. Callers send UUIDs of 36 characters.
pub const KEY_MAX_BYTES: usize = 255;

/// Parses the value of an `Idempotency-Key` header; returns `None` if it is invalid.
///
/// The IETF draft of the header requires a quoted string. Many callers send the bare key, which is
/// accepted too.
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

/// Returns the common key prefix of the claim rows of a client account.
#[must_use]
pub fn row_prefix(account: &str) -> String {
    format!("claim/{account}/")
}

/// Returns the key of a claim row in the table service.
///
/// The idempotency key is hashed because it may contain characters that aren't safe in a path.
#[must_use]
pub fn row_key(account: &str, key: &str) -> String {
    format!("claim/{account}/{}", hex(&Sha256::digest(key.as_bytes())))
}
