//! Counts of the engine slots in use.

/// Number of attempts that hold slots, at one engine or in sum.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct SlotUsage {
    /// Attempts by tier.
    pub(crate) by_tier: [u32; 3],
    /// Attempts among them that use a reserved share.
    pub(crate) reserved: u32,
}

impl SlotUsage {
    /// Adds an attempt.
    pub(crate) fn add(&mut self, tier: usize, reserved: bool) {
        self.by_tier[tier] += 1;
        self.reserved += u32::from(reserved);
    }

    /// Removes an attempt that has ended.
    pub(crate) fn remove(&mut self, tier: usize, reserved: bool) {
        self.by_tier[tier] -= 1;
        self.reserved -= u32::from(reserved);
    }

    /// Adds the counts of another engine or daemon.
    pub(crate) fn merge(&mut self, other: Self) {
        for (sum, count) in self.by_tier.iter_mut().zip(other.by_tier) {
            *sum += count;
        }
        self.reserved += other.reserved;
    }

    /// Returns the attempts of all tiers.
    pub(crate) fn total(&self) -> u32 {
        self.by_tier.iter().sum()
    }

    /// Returns whether tiers below `tier` hold more slots than the reserved ones, of which at most
    /// `reserved_max` count.
    pub(crate) fn lower_tiers_exceed(&self, tier: usize, reserved_max: u32) -> bool {
        let below: u32 = self.by_tier[tier + 1..].iter().sum();
        below > self.reserved.min(reserved_max)
    }
}
