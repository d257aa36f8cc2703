/// Size of the IPv4 and UDP headers of one datagram.
pub(crate) const IP_UDP_HEADER_BYTES: u64 = 28;

/// Token bucket that limits the bytes that a daemon sends.
///
/// Probes and their answers are always sent and may make the balance negative; everything else
/// waits until the balance is high enough.
#[derive(Debug, Clone)]
pub(crate) struct Budget {
    per_s: u64,
    burst: i64,
    /// Balance in millionths of a byte, so that refills after short intervals aren't rounded off.
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

    /// Adds the bytes earned since the last refill.
    pub(crate) fn refill(&mut self, now_us: u64) {
        let elapsed_us = now_us.saturating_sub(self.refilled_us.unwrap_or(now_us));
        // A minute fills any bucket; the bound prevents an overflow after a long pause.
        let refill_micro = elapsed_us.min(60_000_000) * self.per_s;
        let refill_micro = i64::try_from(refill_micro).unwrap_or(i64::MAX / 2);
        self.balance_micro = (self.balance_micro + refill_micro).min(self.burst * 1_000_000);
        self.refilled_us = Some(now_us);
    }

    /// Subtracts one datagram and its headers from the balance.
    pub(crate) fn debit(&mut self, bytes: usize) {
        let cost = i64::try_from(bytes as u64 + IP_UDP_HEADER_BYTES).unwrap_or(0);
        self.balance_micro = (self.balance_micro - cost * 1_000_000).max(-self.burst * 1_000_000);
    }

    /// Adds bytes that the next datagram carries on another budget.
    pub(crate) fn credit(&mut self, bytes: usize) {
        self.balance_micro += i64::try_from(bytes).unwrap_or(0) * 1_000_000;
    }

    /// Returns the size of the largest datagram that leaves `reserve` bytes of balance.
    pub(crate) fn spare(&self, reserve: u64) -> usize {
        let reserve = i64::try_from(reserve + IP_UDP_HEADER_BYTES).unwrap_or(i64::MAX);
        usize::try_from((self.balance_micro / 1_000_000).saturating_sub(reserve)).unwrap_or(0)
    }
}
