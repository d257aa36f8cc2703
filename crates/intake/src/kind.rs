/// What is held for a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// Body that a caller is sending.
    Receiving,
    /// Body that was received and may be sent to an upstream.
    Kept,
    /// Answer that an upstream is sending.
    Answer,
    /// Answer that a caller is reading.
    Delivering,
}

impl Kind {
    /// All kinds, in order.
    pub const ALL: [Self; 4] = [Self::Receiving, Self::Kept, Self::Answer, Self::Delivering];

    /// Returns the name in metrics and logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Receiving => "receiving",
            Self::Kept => "kept",
            Self::Answer => "answer",
            Self::Delivering => "delivering",
        }
    }

    /// Returns whether the caller's own progress decides how long it is held.
    #[must_use]
    pub const fn depends_on_caller(self) -> bool {
        matches!(self, Self::Receiving | Self::Delivering)
    }
}
