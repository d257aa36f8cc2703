use crate::TIERS;

/// Credit of one start.
const START: u32 = 100;

/// Share of the starts that lower tiers keep under overload.
///
/// Every start of another tier adds a waiting tier's percentage to its credit; a credit of 100
/// buys the next free slot. A waiting tier with a percentage above 0 therefore waits for at most
/// [`ReservedShares::max_starts_passed`] starts on free slots, unless it already holds its share of
/// the slots. Credit decides only who takes a free slot: it is no reason to shed or preempt a job
/// of a higher tier.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReservedShares {
    percent: [u8; TIERS],
    credit: [u32; TIERS],
    held: [u32; TIERS],
    /// Number of the last start of each tier.
    last: [u64; TIERS],
    starts: u64,
}

impl ReservedShares {
    /// Sets the percentages; credit is kept.
    pub fn set_percent(&mut self, percent: [u8; TIERS]) {
        self.percent = percent.map(|percent| percent.min(100));
    }

    /// Takes over the larger credit of two reserves whose upstreams were joined.
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

    /// Returns the largest number of starts of other tiers that a waiting tier has to let pass.
    ///
    /// The second term is a start of the other lower tier whose credit fell due at the same time.
    #[must_use]
    pub const fn max_starts_passed(&self, tier: usize) -> Option<u32> {
        if self.percent[tier] == 0 {
            return None;
        }
        Some(START.div_ceil(self.percent[tier] as u32) + 1)
    }

    /// Returns the lower tiers in the order in which they take free slots that are due: the one
    /// that started longest ago first, so that no two starts of one go before the other.
    #[must_use]
    pub fn service_order(&self) -> [usize; TIERS - 1] {
        let mut tiers = std::array::from_fn(|index| TIERS - 1 - index);
        tiers.sort_by_key(|&tier| self.last[tier]);
        tiers
    }

    /// Returns whether a waiting tier takes the next free slot on its share, ahead of higher tiers.
    #[must_use]
    pub fn is_due(&self, tier: usize, slots: u32) -> bool {
        let share = slots.saturating_mul(u32::from(self.percent[tier]));
        self.percent[tier] > 0
            && self.credit[tier] >= START
            && self.held[tier] < share.div_ceil(START).max(1)
    }

    /// Notes a start; `reserved` if the share of the tier was due, `waiting` by tier.
    pub fn started(&mut self, tier: usize, reserved: bool, waiting: [bool; TIERS]) {
        for (other, waiting) in waiting.into_iter().enumerate().skip(1) {
            if other != tier && waiting {
                let credit = self.credit[other] + u32::from(self.percent[other]);
                self.credit[other] = credit.min(2 * START);
            }
        }
        // A start in turn may be preempted again and therefore uses up no credit.
        if reserved {
            self.credit[tier] = self.credit[tier].saturating_sub(START);
            self.held[tier] += 1;
        }
        self.starts += 1;
        self.last[tier] = self.starts;
    }

    /// Notes that a job on a reserved slot ended.
    pub fn ended(&mut self, tier: usize) {
        self.held[tier] = self.held[tier].saturating_sub(1);
    }

    /// Notes that a job on a reserved slot gave way to a higher tier and is owed another start.
    pub fn refund(&mut self, tier: usize) {
        self.credit[tier] = (self.credit[tier] + START).min(2 * START);
    }

    /// Notes that a job runs on a reserved slot, after a change of the upstreams.
    pub fn add_held(&mut self, tier: usize) {
        self.held[tier] += 1;
    }
}
