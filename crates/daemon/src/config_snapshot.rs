//! Configuration in force, indexed for requests.

use settings::{Account, Config};
use sha2::{Digest as _, Sha256};

/// Configuration in force with the indexes that requests need.
///
/// A new configuration replaces the whole snapshot, so that a request sees the same version from
/// start to end.
#[derive(Debug, Default)]
pub(crate) struct ConfigSnapshot {
    pub(crate) config: Config,
    /// SHA-256 digest of each API key with the index of its account, sorted.
    keys: Vec<([u8; 32], usize)>,
    /// Names of all models in force, sorted.
    models: Vec<String>,
}

impl ConfigSnapshot {
    /// Creates a snapshot of a configuration.
    pub(crate) fn new(mut config: Config) -> Self {
        config.sort();
        let mut keys = Vec::new();
        for (index, account) in config.accounts.iter().enumerate() {
            for digest in &account.key_sha256 {
                if let Some(digest) = parse_digest(digest) {
                    keys.push((digest, index));
                }
            }
        }
        keys.sort_unstable();
        let models = config.models().into_iter().map(str::to_owned).collect();
        Self {
            config,
            keys,
            models,
        }
    }

    /// Returns the names of all models in force, sorted.
    pub(crate) fn models(&self) -> &[String] {
        &self.models
    }

    /// Returns whether any upstream serves a model.
    pub(crate) fn serves(&self, model: &str) -> bool {
        self.models
            .binary_search_by(|name| name.as_str().cmp(model))
            .is_ok()
    }

    /// Returns the client account of an API key.
    pub(crate) fn account_of_key(&self, key: &str) -> Option<&Account> {
        let digest: [u8; 32] = Sha256::digest(key.as_bytes()).into();
        let index = self
            .keys
            .binary_search_by(|(stored, _)| stored.cmp(&digest))
            .ok()?;
        self.config.accounts.get(self.keys[index].1)
    }
}

/// Parses a SHA-256 digest in hexadecimal.
fn parse_digest(hex: &str) -> Option<[u8; 32]> {
    let mut digest = [0; 32];
    if hex.len() != 64 || !hex.is_ascii() {
        return None;
    }
    for (index, byte) in digest.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&hex[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(digest)
}
