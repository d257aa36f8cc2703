/// Attempt whose first token is awaited.
#[derive(Debug, Clone, Copy)]
pub struct Pending {
    /// Time at which the upstream was chosen.
    pub sent_us: u64,
    /// Time to the first token that the prompt's length predicts.
    pub expected_us: f64,
}

impl Pending {
    /// Returns the time waited so far over the expected one.
    #[expect(clippy::cast_precision_loss, reason = "intervals are far below 2^52")]
    pub fn waited(&self, now_us: u64) -> f64 {
        now_us.saturating_sub(self.sent_us) as f64 / self.expected_us
    }
}
