/// What a caller may do after a result code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Retry {
    /// The same request fails again.
    Never,
    /// Retry after a pause, or after the `Retry-After` of the answer.
    Later,
    /// Retry with the same idempotency key: it returns the recorded outcome, if there is one.
    SameKey,
    /// A person has to decide whether the call took effect.
    AskOperator,
}

impl Retry {
    /// Returns the phrase used in the table of result codes.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Never => "never",
            Self::Later => "later",
            Self::SameKey => "same key",
            Self::AskOperator => "ask the operator",
        }
    }
}
