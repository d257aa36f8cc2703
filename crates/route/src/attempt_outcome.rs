/// How an attempt ended, as far as it matters for the upstream's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The answer is complete.
    Complete,
    /// The caller disconnected or the job was moved; this says nothing about the upstream.
    Cancelled,
    /// The connection could not be opened.
    ConnectFailed,
    /// The upstream rejected the request without running it.
    Rejected,
    /// The connection was lost or the upstream stopped responding.
    Lost,
    /// The upstream answered with an error.
    Failed,
}

impl AttemptOutcome {
    /// Returns whether the upstream answered.
    #[must_use]
    pub const fn is_answer(self) -> bool {
        matches!(self, Self::Complete | Self::Rejected | Self::Failed)
    }
}
