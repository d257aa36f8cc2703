use std::sync::Arc;

use crate::hash::key_of;

/// Slots of one upstream that its home hands out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Budget {
    /// Name of the upstream.
    pub upstream: Arc<str>,
    /// Region of the upstream.
    pub region: Arc<str>,
    /// Requests that run at once.
    pub slots: u32,
    /// Share of the slots that the lowest tier gets even if higher tiers want all.
    pub reserved_percent: u32,
    /// Share of the slots that only a waiting request of the highest tier may take.
    pub urgent_percent: u32,
}

impl Budget {
    /// Creates a budget with a reserved share of 5% and 10% kept free for the highest tier.
    #[must_use]
    pub fn new(upstream: &str, region: &str, slots: u32) -> Self {
        Self {
            upstream: upstream.into(),
            region: region.into(),
            slots,
            reserved_percent: 5,
            urgent_percent: 10,
        }
    }

    /// Sets the reserved share of the lowest tier.
    #[must_use]
    pub const fn with_reserved_percent(mut self, percent: u32) -> Self {
        self.reserved_percent = percent;
        self
    }

    /// Sets the share that is kept free for the highest tier.
    #[must_use]
    pub const fn with_urgent_percent(mut self, percent: u32) -> Self {
        self.urgent_percent = percent;
        self
    }

    /// Returns the key of the upstream in messages.
    #[must_use]
    pub fn key(&self) -> u32 {
        key_of(&self.upstream)
    }

    /// Returns the reserved slots of the lowest tier.
    #[must_use]
    pub const fn reserved_slots(&self) -> u32 {
        (self.slots * self.reserved_percent).div_ceil(100)
    }

    /// Returns the slots that are kept free for the highest tier.
    #[must_use]
    pub const fn urgent_slots(&self) -> u32 {
        self.slots * self.urgent_percent / 100
    }
}
