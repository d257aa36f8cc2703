/// Virtual time of one token at weight 1; this fixed-point scale keeps precision for large weights.
const SCALE: u64 = 1_024;

/// Expected service of one client account's waiting items, with the account's weight.
///
/// It is stored apart from the items because an estimate scans the backlogs of all accounts.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Backlog {
    /// Sum of the expected service, in tokens.
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

    /// Returns the virtual time of an amount of service at the account's weight.
    pub(crate) fn virtual_time(self, cost: u64) -> u64 {
        cost.saturating_mul(SCALE) / u64::from(self.weight)
    }
}
