/// Virtual time of one token at weight 1; the fixed point keeps fractions of large weights.
const SCALE: u64 = 1_024;

/// Expected service of the waiting items of one client account, with its weight.
///
/// Kept apart from the items, since an estimate looks at the backlog of every account.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Backlog {
    pub(crate) cost: u64,
    pub(crate) weight: u32,
}

impl Backlog {
    pub(crate) fn new(weight: u32) -> Self {
        Self {
            cost: 0,
            weight: weight.max(1),
        }
    }

    /// Returns the virtual time that this much service takes.
    pub(crate) fn virtual_time(self, cost: u64) -> u64 {
        cost.saturating_mul(SCALE) / u64::from(self.weight)
    }
}
