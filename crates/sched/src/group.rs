use std::{cmp::Reverse, collections::BTreeSet, sync::Arc};

use queue::{ReservedShares, TIERS};

/// Part of the slots that long jobs may hold while short work of their tier waits.
pub(crate) const LONG_PERCENT: u32 = 50;

/// Order of preemption: lowest tier, then fewest tokens, then newest.
pub(crate) type VictimKey = (Reverse<u8>, u32, Reverse<u64>);

/// Models or services that share upstreams, and what runs there.
#[derive(Debug, Default)]
pub(crate) struct Group {
    pub(crate) lanes: Vec<usize>,
    pub(crate) slots: u32,
    pub(crate) reserve: ReservedShares,
    /// Jobs that any job of a higher tier may preempt.
    pub(crate) victims: BTreeSet<VictimKey>,
    /// Jobs on reserved slots, which give way only to a job that would be refused.
    pub(crate) reserved: BTreeSet<VictimKey>,
    /// Long jobs that can be resumed, longest last in each tier.
    pub(crate) long: BTreeSet<(u8, u32, u64)>,
    pub(crate) long_held: u32,
    /// No preemption until then, after one that made no room.
    pub(crate) vain_until_us: u64,
    /// Upstream where one slot became free, and what was full before, by lane of the group.
    pub(crate) freed: Option<(Arc<str>, Vec<[u8; TIERS]>)>,
}

impl Group {
    /// Returns whether long jobs may still take slots while short work waits.
    pub(crate) const fn has_room_for_long(&self) -> bool {
        self.long_held * 100 < self.slots * LONG_PERCENT
    }
}
