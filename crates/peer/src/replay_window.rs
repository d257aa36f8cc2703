/// Sequence numbers that were received from one sender under one incarnation.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ReplayWindow {
    incarnation: u64,
    highest: u64,
    /// Bit N stands for `highest - N`.
    seen: u64,
}

impl ReplayWindow {
    /// Returns whether a datagram is new, and notes it.
    ///
    /// An earlier incarnation is refused as a whole: its sender no longer exists.
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
