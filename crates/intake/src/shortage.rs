use std::fmt;

/// Reason why bytes are not granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shortage {
    /// The budget has no room at present.
    Full,
    /// The client account has used up its share while others hold bytes too.
    Share,
    /// The whole budget is smaller.
    TooLarge,
}

impl Shortage {
    /// Returns the name in metrics and logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Full => "full",
            Self::Share => "share",
            Self::TooLarge => "too_large",
        }
    }
}

impl fmt::Display for Shortage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
