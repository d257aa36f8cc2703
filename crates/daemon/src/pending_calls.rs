use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Count of non-idempotent calls whose outcome is not recorded yet; a graceful stop waits for zero.
#[derive(Debug, Clone, Default)]
pub(crate) struct PendingCalls {
    count: Arc<AtomicUsize>,
}

/// Counts one call as pending until it is dropped.
#[derive(Debug)]
pub(crate) struct PendingCallGuard {
    count: Arc<AtomicUsize>,
}

impl PendingCalls {
    /// Counts a call as pending until the guard is dropped.
    pub(crate) fn begin(&self) -> PendingCallGuard {
        self.count.fetch_add(1, Ordering::AcqRel);
        PendingCallGuard {
            count: self.count.clone(),
        }
    }

    /// Returns the number of pending calls.
    pub(crate) fn count(&self) -> usize {
        self.count.load(Ordering::Acquire)
    }
}

impl Drop for PendingCallGuard {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::AcqRel);
    }
}
