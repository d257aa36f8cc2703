/// Attempts that hold slots.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Held {
    /// By tier.
    pub(crate) by_tier: [u32; 3],
    /// Those of them on a reserved share.
    pub(crate) reserved: u32,
}

impl Held {
    /// Counts an attempt.
    pub(crate) fn add(&mut self, tier: usize, reserved: bool) {
        self.by_tier[tier] += 1;
        self.reserved += u32::from(reserved);
    }

    /// Counts the end of an attempt.
    pub(crate) fn remove(&mut self, tier: usize, reserved: bool) {
        self.by_tier[tier] -= 1;
        self.reserved -= u32::from(reserved);
    }

    /// Adds the counts of another place.
    pub(crate) fn merge(&mut self, other: Self) {
        for (sum, count) in self.by_tier.iter_mut().zip(other.by_tier) {
            *sum += count;
        }
        self.reserved += other.reserved;
    }

    /// Returns all attempts.
    pub(crate) fn all(&self) -> u32 {
        self.by_tier.iter().sum()
    }

    /// Returns whether lower tiers hold slots beyond the reserved ones.
    pub(crate) fn has_below(&self, tier: usize, reserved_max: u32) -> bool {
        let below: u32 = self.by_tier[tier + 1..].iter().sum();
        below > self.reserved.min(reserved_max)
    }
}
