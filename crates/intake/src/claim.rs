use std::sync::Arc;

use crate::Kind;

/// Wish to hold bytes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// What is to be held.
    pub kind: Kind,
    /// Client account for which it is held; empty if the configuration has none.
    pub account: Arc<str>,
    /// Bytes.
    pub bytes: u64,
    /// Priority rank; 0 is the highest.
    pub rank: u8,
}

impl Claim {
    /// Creates a claim of the highest rank.
    #[must_use]
    pub const fn new(kind: Kind, account: Arc<str>, bytes: u64) -> Self {
        Self {
            kind,
            account,
            bytes,
            rank: 0,
        }
    }

    /// Sets the priority rank.
    #[must_use]
    pub const fn with_rank(mut self, rank: u8) -> Self {
        self.rank = rank;
        self
    }
}
