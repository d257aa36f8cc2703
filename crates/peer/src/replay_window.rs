/// Sliding window of the sequence numbers received from one incarnation of a sender.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ReplayWindow {
    incarnation: u64,
    highest: u64,
    /// Bit N is set if `highest - N` was received.
    seen: u64,
}

impl ReplayWindow {
    /// Records a sequence number and returns whether it is new.
    ///
    /// Numbers of an earlier incarnation are rejected: that process no longer exists. So are
    /// numbers that are 64 or more below the highest one.
    pub(crate) fn accept(&mut self, incarnation: u64, sequence: u64) -> bool {
        if incarnation < self.incarnation {
            return false;
        }
        if incarnation > self.incarnation {
            *self = Self {
                incarnation,
                highest: sequence,
                seen: 1,
            };
            return true;
        }
        if sequence > self.highest {
            let shift = sequence - self.highest;
            self.seen = if shift < 64 { self.seen << shift } else { 0 } | 1;
            self.highest = sequence;
            return true;
        }
        let age = self.highest - sequence;
        if age >= 64 || self.seen & (1 << age) != 0 {
            return false;
        }
        self.seen |= 1 << age;
        true
    }
}
