use limit::RetryBudget;
use queue::{ItemKind, TIERS};
use route::Target;

use crate::mean::Mean;

/// Each start has a weight of 1/32 in the share of starts of higher tiers.
const SHARE_SHIFT: u32 = 5;

/// State and estimates of one model or plain service, whose jobs wait in one lane of the queue.
#[derive(Debug)]
pub(crate) struct Lane {
    pub(crate) target: Target,
    /// Index of its group in the topology.
    pub(crate) group: usize,
    /// Whether some upstream can continue an answer that another one began.
    pub(crate) resumable: bool,
    /// Bits of the kinds of item that found no slot since one last became free, by tier.
    pub(crate) full: [u8; TIERS],
    /// Number of running jobs.
    pub(crate) running: u32,
    /// Bound on retries; each model and service has its own.
    pub(crate) budget: RetryBudget,
    /// Mean time for which an attempt holds its slot.
    pub(crate) hold_us: Mean,
    /// Mean time for which an attempt holds its slot per token of service, in 1/16 us.
    pub(crate) token_time_us_x16: Mean,
    /// Share of the recent starts that went to higher tiers, by tier, in thousandths.
    pub(crate) higher_tiers_permille: [u32; TIERS],
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
            token_time_us_x16: Mean::default(),
            higher_tiers_permille: [0; TIERS],
        }
    }

    /// Records that a job found no slot. Jobs of lower tiers find none either, nor do those of a
    /// kind that can use fewer upstreams or starts later.
    pub(crate) fn mark_full(&mut self, tier: usize, kind: ItemKind) {
        let mask = match kind {
            ItemKind::Fresh => ItemKind::ALL,
            ItemKind::Resume => ItemKind::RESUMED,
            ItemKind::Long => ItemKind::Long.bit(),
        };
        for full in &mut self.full[tier..] {
            *full |= mask;
        }
    }

    /// Counts a start of a tier.
    pub(crate) fn record_start(&mut self, tier: usize) {
        self.running += 1;
        for (other, permille) in self.higher_tiers_permille.iter_mut().enumerate() {
            *permille -= *permille >> SHARE_SHIFT;
            if tier < other {
                *permille += 1_000 >> SHARE_SHIFT;
            }
        }
    }

    /// Adds an ended attempt to the estimates; `cost` is its service in tokens.
    pub(crate) fn record_service(&mut self, hold_us: u64, cost: u64) {
        self.hold_us.add(hold_us);
        self.token_time_us_x16
            .add(hold_us.saturating_mul(16) / cost.max(1));
    }
}
