/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The answer is complete.
    Complete,
    /// No byte of the request left this host.
    NotSent,
    /// The upstream refused it without running it.
    Rejected,
    /// The connection was lost before the first token; the request may have run.
    LostBeforeAnswer,
    /// The connection was lost mid-stream; `resumable` if the rest can be generated elsewhere.
    LostMidStream {
        /// Whether another upstream can continue the answer.
        resumable: bool,
    },
    /// The upstream answered with an error.
    Failed,
}
