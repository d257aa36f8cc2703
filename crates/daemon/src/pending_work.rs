use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Count of work that a graceful stop waits for and that the dispatcher has no job for: requests
/// from their head to their response, and non-idempotent calls until their outcome is recorded.
#[derive(Debug, Clone, Default)]
pub(crate) struct PendingWork {
    count: Arc<AtomicUsize>,
}

/// Counts one piece of work as pending until it is dropped.
#[derive(Debug)]
pub(crate) struct PendingWorkGuard {
    count: Arc<AtomicUsize>,
}

impl PendingWork {
    /// Counts a piece of work as pending until the guard is dropped.
    pub(crate) fn begin(&self) -> PendingWorkGuard {
        self.count.fetch_add(1, Ordering::AcqRel);
        PendingWorkGuard {
            count: self.count.clone(),
        }
    }

    /// Returns the number of pending pieces of work.
    pub(crate) fn count(&self) -> usize {
        self.count.load(Ordering::Acquire)
    }
}

impl Drop for PendingWorkGuard {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::AcqRel);
    }
}
