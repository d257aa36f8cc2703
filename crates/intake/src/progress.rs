/// Least progress of a caller for which something is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProgressFloor {
    /// Bytes per second.
    pub bytes_per_s: u64,
    /// Time over which they are counted.
    pub window_us: u64,
}

impl ProgressFloor {
    /// Returns the floor while claims are refused: the same rate over a fifth of the time.
    #[must_use]
    pub const fn pressed(self) -> Self {
        Self {
            bytes_per_s: self.bytes_per_s,
            window_us: self.window_us / 5,
        }
    }

    /// Returns the bytes that a caller has to move within the window.
    const fn bytes(self) -> u64 {
        self.bytes_per_s.saturating_mul(self.window_us) / 1_000_000
    }
}

/// Progress of one caller, in windows that follow each other.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Progress {
    since_us: u64,
    bytes: u64,
}

impl Progress {
    pub(crate) const fn new(now_us: u64) -> Self {
        Self {
            since_us: now_us,
            bytes: 0,
        }
    }

    pub(crate) const fn add(&mut self, bytes: u64) {
        self.bytes = self.bytes.saturating_add(bytes);
    }

    /// Returns whether the window has ended with less progress than the floor; begins the next
    /// window if it has ended.
    pub(crate) const fn is_below(&mut self, now_us: u64, floor: ProgressFloor) -> bool {
        matches!(self.end_window(now_us, floor), Some(true))
    }

    /// Begins the next window if this one has ended, and returns whether its progress was less than
    /// the floor.
    pub(crate) const fn end_window(&mut self, now_us: u64, floor: ProgressFloor) -> Option<bool> {
        if now_us.saturating_sub(self.since_us) < floor.window_us {
            return None;
        }
        let is_below = self.bytes < floor.bytes();
        *self = Self::new(now_us);
        Some(is_below)
    }
}
