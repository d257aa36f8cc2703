/// Complaints up to which a daemon isn't suspected of being cut off itself.
const FEW_COMPLAINTS: usize = 2;

/// Part of its upstreams from which on a daemon that complains is suspected of being cut off.
const CUT_OFF_DIVISOR: usize = 4;

/// Time for which the complaints of a daemon don't count after one of them proved wrong.
const DISTRUST_US: u64 = 60_000_000;

/// Daemon that complained.
#[derive(Debug, Clone, Copy)]
pub struct Reporter {
    /// Hash of its name.
    pub id: u64,
    /// Upstreams that it has lately tried or heard from.
    pub contacts: u16,
    /// Time until which it is distrusted.
    distrusted_until_us: u64,
}

impl Reporter {
    pub const fn new(id: u64) -> Self {
        Self {
            id,
            contacts: 0,
            distrusted_until_us: 0,
        }
    }

    /// Returns whether its complaints count while it complains about this many upstreams.
    pub const fn is_credible(&self, now_us: u64, complaints: usize) -> bool {
        now_us >= self.distrusted_until_us && !is_cut_off(complaints, self.contacts)
    }

    /// Records that one of its complaints proved wrong.
    pub const fn distrust(&mut self, now_us: u64) {
        self.distrusted_until_us = now_us.saturating_add(DISTRUST_US);
    }

    /// Returns whether nothing about it has to be remembered.
    pub const fn is_forgettable(&self, now_us: u64) -> bool {
        now_us >= self.distrusted_until_us
    }
}

/// Returns whether a daemon that complains about this many of its upstreams is more likely cut off
/// from them than they are down.
pub const fn is_cut_off(complaints: usize, contacts: u16) -> bool {
    complaints > FEW_COMPLAINTS && complaints * CUT_OFF_DIVISOR > contacts as usize
}
