/// Row that holds the configuration in force and the record of the last change.
pub const CURRENT: &str = "release/current";

/// Beginning of the keys of all rows of releases.
pub const PREFIX: &str = "release/";

/// Returns the key of the record of a version.
#[must_use]
pub fn record_key(version: u64) -> String {
    format!("{PREFIX}{version}")
}

/// Returns the version whose record has this key.
#[must_use]
pub fn version_of_key(key: &str) -> Option<u64> {
    key.strip_prefix(PREFIX)?.parse().ok()
}
