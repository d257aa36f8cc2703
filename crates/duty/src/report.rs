//! Row in which usage reports are written ahead of their calls.

use serde::{Deserialize, Serialize};

use crate::Counts;

/// Report of one window, as it is sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// Number of the window.
    pub window: u64,
    /// Counts by account.
    pub counts: Counts,
}

/// Reports that may have been sent.
///
/// A report is written here before its first call, so that a later holder sends the same counts or
/// none.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Reports {
    /// Last window that was written; no window up to it is counted again.
    pub through: u64,
    /// Reports whose window is not overdue yet, sorted by window.
    pub reports: Vec<Report>,
}

impl Reports {
    /// Parses the value of the row.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is something else.
    pub fn parse(value: &str) -> Result<Self, serde_json::Error> {
        serde_json::from_str(value)
    }

    /// Returns these reports with those of others that they lack; a window that both have keeps the
    /// counts of these.
    pub(crate) fn merged_with(&self, others: &Self) -> Self {
        let mut reports = self.reports.clone();
        for other in &others.reports {
            let find = |report: &Report| report.window.cmp(&other.window);
            if let Err(index) = reports.binary_search_by(find) {
                reports.insert(index, other.clone());
            }
        }
        Self {
            through: self.through.max(others.through),
            reports,
        }
    }

    /// Serializes the reports as the value of the row.
    #[must_use]
    pub fn to_value(&self) -> String {
        // Serializing plain data with string keys never fails.
        serde_json::to_string(self).unwrap_or_default()
    }
}
