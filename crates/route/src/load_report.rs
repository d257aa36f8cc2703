/// Load that an upstream reports about itself; reports lag behind by seconds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in the engine's batch.
    pub running: u32,
    /// Requests in the engine's queue.
    pub waiting: u32,
    /// Used share of the key-value cache, in thousandths.
    pub cache_used_permille: u32,
}
