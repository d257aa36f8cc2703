use std::{cmp::Reverse, collections::BTreeSet, sync::Arc};

use queue::{ReservedShares, TIERS};

/// Percentage of the slots that long jobs may hold while short jobs of their tier wait.
pub(crate) const LONG_PERCENT: u32 = 50;

/// Order of preemption: lowest tier first, then fewest tokens, then newest job.
pub(crate) type VictimKey = (Reverse<u8>, u32, Reverse<u64>);

/// Lanes that share upstreams, and the jobs that run there.
#[derive(Debug, Default)]
pub(crate) struct Group {
    pub(crate) lanes: Vec<usize>,
    /// Sum of the capacities of the upstreams.
    pub(crate) slots: u32,
    pub(crate) reserve: ReservedShares,
    /// Running jobs that any job of a higher tier may preempt.
    pub(crate) victims: BTreeSet<VictimKey>,
    /// Running jobs on reserved slots, which only a job that would otherwise be refused preempts.
    pub(crate) reserved_victims: BTreeSet<VictimKey>,
    /// Preemptable long jobs by tier, token level and identifier; the longest come last in a tier.
    pub(crate) long_preemptable: BTreeSet<(u8, u32, u64)>,
    /// Number of running long jobs.
    pub(crate) long_count: u32,
    /// End of the pause after a preemption that freed no usable slot.
    pub(crate) preemption_paused_until_us: u64,
    /// Upstream of the one slot that became free in this event, and [`Lane::full`] before that, for
    /// each lane of the group.
    ///
    /// [`Lane::full`]: crate::lane::Lane::full
    pub(crate) freed_slot: Option<(Arc<str>, Vec<[u8; TIERS]>)>,
}

impl Group {
    /// Returns whether long jobs may take more slots while short jobs wait.
    pub(crate) const fn has_room_for_long(&self) -> bool {
        self.long_count as u64 * 100 < self.slots as u64 * LONG_PERCENT as u64
    }
}
