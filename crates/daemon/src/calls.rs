use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Count of non-idempotent calls whose outcome is not recorded yet; a planned stop waits for zero.
#[derive(Debug, Clone, Default)]
pub(crate) struct Calls {
    open: Arc<AtomicUsize>,
}

/// One counted call.
#[derive(Debug)]
pub(crate) struct CallGuard {
    open: Arc<AtomicUsize>,
}

impl Calls {
    pub(crate) fn begin(&self) -> CallGuard {
        self.open.fetch_add(1, Ordering::AcqRel);
        CallGuard {
            open: self.open.clone(),
        }
    }

    pub(crate) fn open(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::AcqRel);
    }
}
