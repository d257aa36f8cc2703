/// What is known about a command after it was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendResult {
    /// The upstream answered that it applied the command.
    Applied,
    /// The upstream refused the token as stale; nothing was applied.
    Stale,
    /// The upstream refused the command for another reason; nothing was applied.
    Refused,
    /// No byte of the command was sent.
    NotSent,
    /// Bytes were sent and no complete answer came back.
    Lost,
}
