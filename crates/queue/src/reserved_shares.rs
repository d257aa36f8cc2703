use crate::TIERS;

/// Credit that one reserved start costs.
const START_CREDIT: u32 = 100;

/// Shares of the starts that are reserved for lower tiers under overload.
///
/// Every start of another tier adds a waiting tier's percentage to its credit, and 100 credits
/// entitle it to the next free slot. A waiting tier with a percentage above 0 therefore waits for
/// at most [`ReservedShares::max_starts_passed`] starts on free slots, unless it already holds its
/// share of the slots. Credit only determines which tier takes a free slot; a job of a higher tier
/// is never shed or preempted for it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReservedShares {
    percent: [u8; TIERS],
    credit: [u32; TIERS],
    /// Reserved slots on which jobs of each tier run.
    held: [u32; TIERS],
    /// Sequence number of the last start of each tier.
    last_start: [u64; TIERS],
    /// Number of starts so far.
    starts: u64,
}

impl ReservedShares {
    /// Sets the percentages; the credit is kept.
    pub fn set_percent(&mut self, percent: [u8; TIERS]) {
        self.percent = percent.map(|percent| percent.min(100));
    }

    /// Keeps the larger credit of each tier after two groups of upstreams were merged.
    pub fn merge_credit(&mut self, other: &Self) {
        for (credit, other) in self.credit.iter_mut().zip(other.credit) {
            *credit = (*credit).max(other);
        }
    }

    /// Returns the percentage of a tier.
    #[must_use]
    pub const fn percent(&self, tier: usize) -> u8 {
        self.percent[tier]
    }

    /// Returns the largest number of starts of other tiers before a waiting tier starts, or `None`
    /// if nothing is reserved for it.
    ///
    /// The added 1 covers a start of the other lower tier that became due at the same time.
    #[must_use]
    pub const fn max_starts_passed(&self, tier: usize) -> Option<u32> {
        if self.percent[tier] == 0 {
            return None;
        }
        Some(START_CREDIT.div_ceil(self.percent[tier] as u32) + 1)
    }

    /// Returns the lower tiers in the order in which they take reserved slots that are due. The one
    /// whose last start is oldest comes first, so that neither starts twice before the other.
    #[must_use]
    pub fn service_order(&self) -> [usize; TIERS - 1] {
        let mut tiers = std::array::from_fn(|index| TIERS - 1 - index);
        tiers.sort_by_key(|&tier| self.last_start[tier]);
        tiers
    }

    /// Returns whether a waiting tier is entitled to the next free slot, ahead of higher tiers.
    #[must_use]
    pub fn is_due(&self, tier: usize, slots: u32) -> bool {
        let share = slots.saturating_mul(u32::from(self.percent[tier]));
        self.percent[tier] > 0
            && self.credit[tier] >= START_CREDIT
            && self.held[tier] < share.div_ceil(START_CREDIT).max(1)
    }

    /// Records a start. `reserved` says whether it used a reserved slot, and `waiting` which tiers
    /// have waiting jobs.
    pub fn started(&mut self, tier: usize, reserved: bool, waiting: [bool; TIERS]) {
        for (other, waiting) in waiting.into_iter().enumerate().skip(1) {
            if other != tier && waiting {
                let credit = self.credit[other] + u32::from(self.percent[other]);
                self.credit[other] = credit.min(2 * START_CREDIT);
            }
        }
        // A regular start may be preempted again and therefore costs no credit.
        if reserved {
            self.credit[tier] = self.credit[tier].saturating_sub(START_CREDIT);
            self.held[tier] += 1;
        }
        self.starts += 1;
        self.last_start[tier] = self.starts;
    }

    /// Records that a job on a reserved slot ended.
    pub fn ended(&mut self, tier: usize) {
        self.held[tier] = self.held[tier].saturating_sub(1);
    }

    /// Refunds the credit of a job that was preempted on a reserved slot, so that the tier gets
    /// another start.
    pub fn refund(&mut self, tier: usize) {
        self.credit[tier] = (self.credit[tier] + START_CREDIT).min(2 * START_CREDIT);
    }

    /// Counts a job that runs on a reserved slot, after a change of the upstreams.
    pub fn add_held(&mut self, tier: usize) {
        self.held[tier] += 1;
    }
}
