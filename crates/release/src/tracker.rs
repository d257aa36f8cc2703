use settings::Config;

use crate::{CurrentRelease, OfferOutcome, Record, check};

/// Decides whether a daemon adopts a release row that it read from the table service or got from a
/// peer.
///
/// The version never goes back: a stale read, an outage or a damaged row leaves the last valid
/// configuration in force.
#[derive(Debug, Clone, Default)]
pub struct Tracker {
    version: u64,
    digest: String,
    confirmed_us: Option<u64>,
}

impl Tracker {
    /// Returns the version in force; 0 before the first.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns the SHA-256 of the configuration in force; empty before the first.
    #[must_use]
    pub fn digest(&self) -> &str {
        &self.digest
    }

    /// Returns the time at which the version in force was last seen in a row or confirmed as the
    /// newest.
    #[must_use]
    pub const fn confirmed_us(&self) -> Option<u64> {
        self.confirmed_us
    }

    /// Records that the table service holds nothing newer than the version in force.
    pub const fn confirm(&mut self, now_us: u64) {
        self.confirmed_us = Some(now_us);
    }

    /// Decides on the value of the row `release/N` of the next version. The note in the record is
    /// applied to the configuration in force, and the result must have the recorded digest.
    ///
    /// This row has a few hundred bytes; `release/current` is about 1 MiB at 2,300 upstreams.
    pub fn offer_record(&mut self, now_us: u64, in_force: &Config, value: &str) -> OfferOutcome {
        let record = match Record::from_text(value) {
            Ok(record) => record,
            Err(error) => return OfferOutcome::Faulty(error.to_string()),
        };
        if record.version <= self.version {
            return OfferOutcome::Older;
        }
        match check(&record.note, in_force) {
            Ok(config) if config.version == record.version && config.digest() == record.digest => {
                self.version = config.version;
                self.digest = record.digest;
                self.confirmed_us = Some(now_us);
                OfferOutcome::Newer(config)
            }
            Ok(_) => OfferOutcome::Faulty("the note does not give the recorded version".to_owned()),
            Err(problems) => {
                let first = problems.first().map(ToString::to_string);
                OfferOutcome::Faulty(first.unwrap_or_default())
            }
        }
    }

    /// Decides on the value of the row `release/current`.
    ///
    /// Only syntax and digest are checked, not the ranges of values. Ranges were checked before the
    /// row was written, and a daemon whose ranges are narrower than those of a newer operator
    /// program must not keep an old configuration because of that.
    pub fn offer(&mut self, now_us: u64, value: &str) -> OfferOutcome {
        let config = match CurrentRelease::from_text(value) {
            Ok(current) => current.config,
            Err(message) => return OfferOutcome::Faulty(message),
        };
        if config.version < self.version {
            return OfferOutcome::Older;
        }
        if config.version == 0 {
            return OfferOutcome::Faulty("version 0 is no release".to_owned());
        }
        let digest = config.digest();
        if config.version > self.version {
            self.version = config.version;
            self.digest = digest;
            self.confirmed_us = Some(now_us);
            return OfferOutcome::Newer(config);
        }
        if digest != self.digest {
            return OfferOutcome::Faulty(format!("another content for version {}", self.version));
        }
        self.confirmed_us = Some(now_us);
        OfferOutcome::Same
    }
}

#[cfg(test)]
#[path = "tracker_tests.rs"]
mod tests;
