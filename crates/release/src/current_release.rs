use serde::Deserialize as _;
use serde_json::Value;
use settings::Config;

use crate::Record;

/// Value of the row `release/current`: the fields of the configuration and `record` in one object.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CurrentRelease {
    /// Configuration in force.
    pub config: Config,
    /// Record of the change that made it; `None` if the row was created without a release note.
    pub record: Option<Record>,
}

impl CurrentRelease {
    /// Serializes the value of the row.
    #[must_use]
    pub fn to_text(&self) -> String {
        let mut value = serde_json::to_value(&self.config).unwrap_or_default();
        if let Some(record) = &self.record {
            value["record"] = serde_json::to_value(record).unwrap_or_default();
        }
        value.to_string()
    }

    /// Parses the value of the row.
    ///
    /// # Errors
    ///
    /// Returns a message if the text is invalid, or if the version or digest in the record does not
    /// match the configuration.
    pub fn from_text(text: &str) -> Result<Self, String> {
        let mut value: Value = serde_json::from_str(text).map_err(|error| error.to_string())?;
        let record = value
            .as_object_mut()
            .and_then(|object| object.remove("record"));
        let record: Option<Record> = record
            .map(|record| Record::deserialize(&record))
            .transpose()
            .map_err(|error| format!("record: {error}"))?;
        let mut config = Config::deserialize(&value).map_err(|error| error.to_string())?;
        // Look-ups in the configuration need sorted lists.
        config.sort();
        if let Some(record) = &record {
            if record.version != config.version {
                let (recorded, actual) = (record.version, config.version);
                return Err(format!(
                    "record is for version {recorded}, configuration has version {actual}"
                ));
            }
            if record.digest != config.digest() {
                return Err("digest does not match the configuration".to_owned());
            }
        }
        Ok(Self { config, record })
    }

    /// Returns the ID of the attempt that made this version.
    #[must_use]
    pub fn attempt(&self) -> Option<&str> {
        self.record.as_ref().map(|record| record.attempt.as_str())
    }
}
