//! Result of comparing a request with the latency targets of its class.

/// Whether a request met the latency targets of its class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Attainment {
    /// The time to the first token and the mean gap between tokens were within the targets.
    Met,
    /// The request was late, was refused or ended with an incomplete response.
    Missed,
    /// The caller disconnected before the targets could be judged.
    NotJudged,
}
