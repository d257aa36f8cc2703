//! Keys of the release rows in the table service.

/// Key of the row that holds the configuration in force and the record of the last change.
pub const CURRENT_KEY: &str = "release/current";

/// Returns the key of the row that holds the record of a version.
#[must_use]
pub fn record_key(version: u64) -> String {
    format!("release/{version}")
}
