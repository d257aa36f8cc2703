use settings::Config;

/// Decision of a [`Tracker`](crate::Tracker) on a row that it was offered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The row is valid and newer: put this configuration in force.
    Newer(Config),
    /// The row holds the version in force.
    Same,
    /// The row is older than the version in force and is ignored.
    Older,
    /// The row is invalid or contradicts the version in force, and is ignored; the text says why.
    Faulty(String),
}
