use limit::RetryBudget;
use queue::{ItemKind, TIERS};
use route::Target;

use crate::mean::Mean;

/// Part of the old value that a start leaves in the share of higher tiers, in 1/32.
const SHARE_SHIFT: u32 = 5;

/// What is known about one model or plain service.
#[derive(Debug)]
pub(crate) struct Lane {
    pub(crate) target: Target,
    pub(crate) group: usize,
    /// Whether some upstream can continue a begun answer.
    pub(crate) resumable: bool,
    /// Variants by tier that found no room since the last slot became free.
    pub(crate) full: [u8; TIERS],
    pub(crate) running: u32,
    /// Bound on retries, of each model and service by itself.
    pub(crate) budget: RetryBudget,
    /// Time for which an attempt holds its slot.
    pub(crate) hold_us: Mean,
    /// Time for which an attempt holds its slot, for each token of service, in 1/16 us.
    pub(crate) token_time: Mean,
    /// Share of the recent starts that went to higher tiers, in thousandths.
    pub(crate) higher_permille: [u32; TIERS],
}

impl Lane {
    pub(crate) fn new(target: Target) -> Self {
        Self {
            target,
            group: 0,
            resumable: false,
            full: [0; TIERS],
            running: 0,
            budget: RetryBudget::default(),
            hold_us: Mean::default(),
            token_time: Mean::default(),
            higher_permille: [0; TIERS],
        }
    }

    /// Notes that a variant found no room; what needs more or comes later finds none either.
    pub(crate) fn mark_full(&mut self, tier: usize, variant: ItemKind) {
        let mask = match variant {
            ItemKind::Fresh => ItemKind::ALL,
            ItemKind::Resume => ItemKind::RESUMED,
            ItemKind::Long => ItemKind::Long.bit(),
        };
        for full in &mut self.full[tier..] {
            *full |= mask;
        }
    }

    pub(crate) fn note_start(&mut self, tier: usize) {
        self.running += 1;
        for (other, permille) in self.higher_permille.iter_mut().enumerate() {
            *permille -= *permille >> SHARE_SHIFT;
            if tier < other {
                *permille += 1_000 >> SHARE_SHIFT;
            }
        }
    }

    pub(crate) fn note_service(&mut self, hold_us: u64, cost: u64) {
        self.hold_us.add(hold_us);
        self.token_time
            .add(hold_us.saturating_mul(16) / cost.max(1));
    }
}
