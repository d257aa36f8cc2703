/// Result of sending a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendResult {
    /// The upstream answered that it applied the command.
    Applied,
    /// The upstream refused the token as stale; nothing was applied.
    Stale,
    /// The upstream refused the command for another reason; nothing was applied.
    Refused,
    /// Nothing of the command was sent.
    NotSent,
    /// At least a part of the command was sent, and no complete answer arrived.
    Lost,
}
