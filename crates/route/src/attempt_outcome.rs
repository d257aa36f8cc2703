/// How an attempt ended, as far as the judgement of the upstream goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The answer is complete.
    Complete,
    /// The caller left or the job was moved; says nothing about the upstream.
    Cancelled,
    /// The connection could not be opened.
    ConnectFailed,
    /// The upstream refused the work without running it.
    Rejected,
    /// The connection was lost or the upstream went silent.
    Lost,
    /// The upstream answered with an error.
    Failed,
}
