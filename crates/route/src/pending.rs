use crate::uncertainty::Uncertainty;

/// Attempt that has not received its first token.
#[derive(Debug, Clone, Copy)]
pub struct Pending {
    /// Time at which the upstream was selected.
    pub sent_us: u64,
    /// Time to first token predicted from the prompt tokens to be processed.
    pub expected_us: f64,
    /// Bounds of the time to first token, if it isn't known what the upstream has to process.
    pub uncertainty: Option<Uncertainty>,
}

impl Pending {
    /// Returns the ratio of the time waited so far to the expected time.
    #[expect(clippy::cast_precision_loss, reason = "intervals are far below 2^52")]
    pub fn waited(&self, now_us: u64) -> f64 {
        now_us.saturating_sub(self.sent_us) as f64 / self.expected_us
    }
}
