use std::time::Duration;

/// Size of the writes in which a caller repeats its filler.
const WRITE_BYTES: usize = 64 * 1024;

/// What each caller of a crowd sends and reads.
#[derive(Debug, Clone, Default)]
pub struct Script {
    pub(crate) opening: Vec<u8>,
    pub(crate) filler: Vec<u8>,
    pub(crate) reads: Option<(usize, Duration)>,
}

impl Script {
    /// Creates a script that sends these bytes once and then nothing.
    #[must_use]
    pub fn new(opening: impl Into<Vec<u8>>) -> Self {
        Self {
            opening: opening.into(),
            ..Self::default()
        }
    }

    /// Repeats these bytes without end after the opening.
    #[must_use]
    pub fn with_filler(mut self, filler: &str) -> Self {
        let times = WRITE_BYTES.div_ceil(filler.len().max(1));
        self.filler = filler.repeat(times).into_bytes();
        self
    }

    /// Reads up to this many bytes at this interval; without it, nothing is read.
    #[must_use]
    pub const fn with_reads(mut self, bytes: usize, interval: Duration) -> Self {
        self.reads = Some((bytes, interval));
        self
    }
}
