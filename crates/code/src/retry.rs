/// Whether a caller may retry after a result code, and how.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Retry {
    /// Don't retry: the same request would fail again.
    Never,
    /// Retry after a delay, or after that of the `Retry-After` header if there is one.
    Later,
    /// Retry with the same idempotency key, which returns the recorded outcome if there is one.
    SameKey,
    /// Ask an operator, who has to find out whether the call took effect.
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
