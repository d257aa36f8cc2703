use std::sync::Arc;

use crate::ItemKind;

/// Waiting job as the queue sees it.
///
/// The owner keeps the item and passes it again to remove it; it must not change in between.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Identifier of the job.
    pub id: u64,
    /// Lane of the model or plain service.
    pub lane: usize,
    /// Tier, 0 is the highest.
    pub tier: u8,
    /// Client account.
    pub account: Arc<str>,
    /// What it needs beyond its lane.
    pub kind: ItemKind,
    /// Unique number of the arrival, kept when the job is queued again.
    pub arrival: u64,
    /// Time after which the job is no longer started.
    pub deadline_us: u64,
    /// Expected service, in tokens.
    pub cost: u64,
    /// Whether it counts towards the bound of the queue and may be shed; a job that has run isn't.
    pub bounded: bool,
}
