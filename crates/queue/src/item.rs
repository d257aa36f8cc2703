use std::sync::Arc;

use crate::ItemKind;

/// Waiting job, with the properties that the queue needs.
///
/// The caller keeps the item and passes it again to remove it; it must not change in between.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Identifier of the job.
    pub id: u64,
    /// Index of the lane of its model or plain service.
    pub lane: usize,
    /// Tier; 0 is the highest.
    pub tier: u8,
    /// Client account.
    pub account: Arc<str>,
    /// Kind.
    pub kind: ItemKind,
    /// Unique arrival number, kept when the job is queued again.
    pub arrival: u64,
    /// Time after which the job is no longer started.
    pub deadline_us: u64,
    /// Expected service, in tokens.
    pub cost: u64,
    /// Whether it counts towards the queue's bound and may be shed; false for a job that has run.
    pub bounded: bool,
}
