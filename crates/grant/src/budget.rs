use std::sync::Arc;

use crate::hash::key_of;

/// Slots of one upstream that its home grants to daemons.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Budget {
    /// Name of the upstream.
    pub upstream: Arc<str>,
    /// Region of the upstream.
    pub region: Arc<str>,
    /// Number of requests that may run at once.
    pub slots: u32,
    /// Percentage of the slots that the lowest tier gets even if higher tiers want all.
    pub reserved_percent: u32,
    /// Percentage of the slots that only requests of the highest tier may take.
    pub urgent_percent: u32,
}

impl Budget {
    /// Creates a budget with 5% reserved for the lowest tier and 10% kept free for the highest.
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

    /// Sets the percentage that is reserved for the lowest tier.
    #[must_use]
    pub const fn with_reserved_percent(mut self, percent: u32) -> Self {
        self.reserved_percent = percent;
        self
    }

    /// Sets the percentage that is kept free for the highest tier.
    #[must_use]
    pub const fn with_urgent_percent(mut self, percent: u32) -> Self {
        self.urgent_percent = percent;
        self
    }

    /// Returns the key that identifies the upstream in messages.
    #[must_use]
    pub fn key(&self) -> u32 {
        key_of(&self.upstream)
    }

    /// Returns the number of slots reserved for the lowest tier.
    #[must_use]
    pub const fn reserved_slots(&self) -> u32 {
        (self.slots * self.reserved_percent).div_ceil(100)
    }

    /// Returns the number of slots kept free for the highest tier.
    #[must_use]
    pub const fn urgent_slots(&self) -> u32 {
        self.slots * self.urgent_percent / 100
    }
}
