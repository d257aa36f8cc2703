/// Result of an attempt, as reported to the dispatcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The complete answer was received.
    Complete,
    /// No byte of the request left this host.
    NotSent,
    /// Nothing was sent: since it was chosen, the upstream has said that it is leaving or that it
    /// wants a pause.
    Withheld,
    /// The upstream rejected the request without running it.
    Rejected,
    /// The connection was lost before the first token; the request may have run.
    LostBeforeAnswer,
    /// The connection was lost after the first token.
    LostMidStream {
        /// Whether another upstream can generate the rest of the answer.
        resumable: bool,
    },
    /// The upstream answered with an error.
    Failed,
}
