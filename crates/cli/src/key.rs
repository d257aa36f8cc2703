//! The `key` command, and random identifiers.

use std::fmt::Write as _;

use settings::hash_api_key;

/// Prints a random API key and its digest.
pub(crate) fn print_new() {
    let key = random_hex::<32>();
    println!("key     {key}");
    println!("digest  {}", hash_api_key(&key));
}

/// Returns `N` random bytes as hexadecimal digits; the operating system seeds the generator.
pub(crate) fn random_hex<const N: usize>() -> String {
    let mut bytes = [0_u8; N];
    rand::fill(&mut bytes);
    let mut text = String::with_capacity(2 * N);
    for byte in bytes {
        let _ = write!(text, "{byte:02x}");
    }
    text
}
