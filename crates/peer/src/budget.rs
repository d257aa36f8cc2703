/// Bytes of IP and UDP headers of one datagram.
pub(crate) const HEADER_BYTES: u64 = 28;

/// Token bucket over all bytes that a daemon sends.
///
/// Probes and their answers are always sent and may leave a debt; everything else waits until the
/// balance allows it.
#[derive(Debug, Clone)]
pub(crate) struct Budget {
    per_s: u64,
    burst: i64,
    /// Balance in millionths of a byte, so that short refills lose nothing.
    balance_micro: i64,
    refilled_us: Option<u64>,
}

impl Budget {
    pub(crate) fn new(per_s: u64, burst: u64) -> Self {
        let burst = i64::try_from(burst).unwrap_or(i64::MAX / 2_000_000);
        Self {
            per_s,
            burst,
            balance_micro: burst * 1_000_000,
            refilled_us: None,
        }
    }

    pub(crate) fn refill(&mut self, now_us: u64) {
        let since = now_us.saturating_sub(self.refilled_us.unwrap_or(now_us));
        // A minute fills any bucket; the bound keeps the product small after a long pause.
        let earned = since.min(60_000_000) * self.per_s;
        let earned = i64::try_from(earned).unwrap_or(i64::MAX / 2);
        self.balance_micro = (self.balance_micro + earned).min(self.burst * 1_000_000);
        self.refilled_us = Some(now_us);
    }

    /// Debits one datagram.
    pub(crate) fn debit(&mut self, bytes: usize) {
        let cost = i64::try_from(bytes as u64 + HEADER_BYTES).unwrap_or(0);
        self.balance_micro = (self.balance_micro - cost * 1_000_000).max(-self.burst * 1_000_000);
    }

    /// Returns how many bytes may be sent beyond this reserve.
    pub(crate) fn spare(&self, reserve: u64) -> usize {
        let reserve = i64::try_from(reserve + HEADER_BYTES).unwrap_or(i64::MAX);
        usize::try_from((self.balance_micro / 1_000_000).saturating_sub(reserve)).unwrap_or(0)
    }
}
