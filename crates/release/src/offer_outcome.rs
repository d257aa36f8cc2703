use settings::Config;

/// What a [`Tracker`](crate::Tracker) made of a row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The row is newer and complete: put this configuration in force.
    Newer(Config),
    /// The row holds the version in force.
    Same,
    /// The row is older than the version in force and is ignored.
    Older,
    /// The row is not whole or contradicts the version in force, and is ignored.
    Faulty(String),
}
