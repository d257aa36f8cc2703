//! Time to first token of a prompt whose shared parts may or may not be read.

/// Smallest ratio of the longest to the shortest time that can be told apart: queues on an engine
/// are known roughly.
const DISTINCT_RATIO: f64 = 1.5;

/// Bounds of the time to first token of a prompt, if it isn't known whether its engine reads the
/// shared parts.
#[derive(Debug, Clone, Copy, PartialEq)]
#[expect(clippy::struct_field_names, reason = "fields carry their unit")]
pub struct Uncertainty {
    kept_us: f64,
    read_us: f64,
    expected_us: f64,
}

impl Uncertainty {
    /// Creates the bounds from the time without the shared parts, the time with all of them, and the
    /// expected time; `None` if the times are too close to tell them apart.
    pub fn new(kept_us: f64, read_us: f64, expected_us: f64) -> Option<Self> {
        (read_us > DISTINCT_RATIO * kept_us).then_some(Self {
            kept_us,
            read_us,
            expected_us: expected_us.clamp(kept_us, read_us),
        })
    }

    /// Returns the share of the parts that the engine was expected not to read.
    pub const fn expected_share(&self) -> f64 {
        self.kept_share(self.expected_us)
    }

    /// Returns the share of the parts that the engine didn't read, judged by the time to first token.
    pub const fn kept_share(&self, elapsed_us: f64) -> f64 {
        let elapsed_us = elapsed_us.clamp(self.kept_us, self.read_us);
        (self.read_us - elapsed_us) / (self.read_us - self.kept_us)
    }
}
