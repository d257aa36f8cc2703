//! Bytes that this host holds for its callers, within the budget of its memory.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use code::Code;
use intake::{Budget, BudgetOptions, Claim, HoldId, Kind, Shortage, Ticket};
use log::warn;
use metric::Metrics;
use tokio::{
    sync::{Notify, oneshot},
    time::{sleep, timeout},
};

use crate::{clock::Clock, refusal::Refusal};

/// Longest time that a claim waits for room before its request is refused.
pub(crate) const WAIT_MAX: Duration = Duration::from_millis(500);

/// `Retry-After` of requests for which there is no memory.
const RETRY_AFTER_MS: u64 = 500;

/// Interval at which the progress of callers is checked while something is held for them.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Shortest time between two log lines about the budget.
const LOG_INTERVAL_US: u64 = 1_000_000;

/// Budget of this host and the tasks that wait for it or hold a part of it.
pub(crate) struct Holds {
    clock: Clock,
    budget: Option<Mutex<State>>,
    /// Wakes the task that checks progress.
    begun: Notify,
    /// Number of refused bodies that are being read and discarded.
    discards: AtomicUsize,
    discards_max: usize,
}

struct State {
    budget: Budget,
    /// Claims that wait, with the channel that gets their holds.
    waiting: Vec<(Ticket, oneshot::Sender<HoldId>)>,
    /// Holds with the channel that tells their tasks to close them, sorted by hold.
    closers: Vec<(HoldId, oneshot::Sender<()>)>,
    logged_us: Option<u64>,
    /// Refused claims and closed holds since the last log line.
    refused: u64,
    closed: u64,
}

/// Bytes that are held until it is dropped.
pub(crate) struct Hold {
    holds: Arc<Holds>,
    id: HoldId,
    bytes: u64,
    closed: oneshot::Receiver<()>,
}

/// Permission to read and discard a refused body.
pub(crate) struct Discard<'a> {
    holds: &'a Holds,
}

/// Values of the gauges.
#[derive(Debug, Default)]
pub(crate) struct HeldBytes {
    /// By kind, in the order of [`Kind::ALL`].
    pub(crate) by_kind: [u64; 4],
    pub(crate) waiting: u64,
}

impl Holds {
    /// Creates a budget; without options, nothing is limited.
    pub(crate) fn new(options: Option<BudgetOptions>) -> Self {
        Self {
            clock: Clock::new(),
            budget: options.map(|options| {
                Mutex::new(State {
                    budget: Budget::new(options),
                    waiting: Vec::new(),
                    closers: Vec::new(),
                    logged_us: None,
                    refused: 0,
                    closed: 0,
                })
            }),
            begun: Notify::new(),
            discards: AtomicUsize::new(0),
            discards_max: options.map_or(usize::MAX, |options| options.waiting_max),
        }
    }

    /// Returns whether the memory of this host is limited.
    pub(crate) const fn is_limited(&self) -> bool {
        self.budget.is_some()
    }

    /// Reserves bytes, and waits for them for a short time if there is no room; `None` if nothing is
    /// limited.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller.
    pub(crate) async fn reserve(
        self: &Arc<Self>,
        metrics: &Metrics,
        claim: Claim,
        wait: Duration,
    ) -> Result<Option<Hold>, Refusal> {
        let shortage = match self.try_reserve(&claim) {
            Ok(hold) => return Ok(hold),
            Err(shortage) => shortage,
        };
        let (kind, bytes) = (claim.kind, claim.bytes);
        let Some(mut waiting) = self.enqueue(claim) else {
            return Err(self.refusal(metrics, kind, shortage));
        };
        match timeout(wait, &mut waiting.granted).await {
            Ok(Ok(id)) => Ok(Some(self.hold(id, bytes))),
            Ok(Err(_)) | Err(_) => Err(self.refusal(metrics, kind, shortage)),
        }
    }

    /// Returns the refusal for want of memory, after counting and logging it.
    pub(crate) fn refusal(&self, metrics: &Metrics, kind: Kind, shortage: Shortage) -> Refusal {
        metrics.record_shortage(kind.as_str(), shortage.as_str());
        if let Some(mut state) = self.state() {
            state.refused += 1;
            state.log(self.clock.now_us());
        }
        Refusal::new(Code::HostFull).with_retry_after_ms(RETRY_AFTER_MS)
    }

    /// Reserves bytes if there is room; `None` if nothing is limited.
    pub(crate) fn try_reserve(self: &Arc<Self>, claim: &Claim) -> Result<Option<Hold>, Shortage> {
        let Some(mut state) = self.state() else {
            return Ok(None);
        };
        let id = state.budget.reserve(self.clock.now_us(), claim)?;
        drop(state);
        Ok(Some(self.hold(id, claim.bytes)))
    }

    /// Returns whether another refused body may be read and discarded.
    pub(crate) fn begin_discard(&self) -> Option<Discard<'_>> {
        let discard = Discard { holds: self };
        let before = self.discards.fetch_add(1, Ordering::AcqRel);
        // Dropping it corrects the count.
        (before < self.discards_max).then_some(discard)
    }

    /// Returns what is held.
    pub(crate) fn held(&self) -> HeldBytes {
        self.state()
            .map_or_else(HeldBytes::default, |state| HeldBytes {
                by_kind: Kind::ALL.map(|kind| state.budget.held_bytes_of(kind)),
                waiting: state.budget.waiting() as u64,
            })
    }

    /// Closes holds whose callers make too little progress, as long as the daemon runs.
    pub(crate) async fn watch(&self, metrics: &Metrics) {
        loop {
            let needs_sweep = self.state().is_some_and(|state| state.budget.needs_sweep());
            if needs_sweep {
                sleep(SWEEP_INTERVAL).await;
                self.sweep(metrics);
            } else {
                self.begun.notified().await;
            }
        }
    }

    fn sweep(&self, metrics: &Metrics) {
        let Some(mut state) = self.state() else {
            return;
        };
        let now_us = self.clock.now_us();
        for id in state.budget.sweep(now_us) {
            if let Ok(index) = state.closers.binary_search_by_key(&id, |&(id, _)| id) {
                let (_, closer) = state.closers.remove(index);
                // Its task may be ending at this moment.
                if closer.send(()).is_ok() {
                    state.closed += 1;
                    metrics.record_closed_caller("slow");
                }
            }
        }
        state.log(now_us);
    }

    fn hold(self: &Arc<Self>, id: HoldId, bytes: u64) -> Hold {
        let (closer, on_close) = oneshot::channel();
        if let Some(mut state) = self.state() {
            let index = state.closers.partition_point(|&(other, _)| other < id);
            state.closers.insert(index, (id, closer));
        }
        self.begun.notify_one();
        Hold {
            holds: self.clone(),
            id,
            bytes,
            closed: on_close,
        }
    }

    fn enqueue(self: &Arc<Self>, claim: Claim) -> Option<Waiting> {
        let mut state = self.state()?;
        let ticket = state.budget.enqueue(claim)?;
        let (grant, granted) = oneshot::channel();
        state.waiting.push((ticket, grant));
        drop(state);
        Some(Waiting {
            holds: self.clone(),
            ticket,
            granted,
        })
    }

    fn state(&self) -> Option<MutexGuard<'_, State>> {
        let budget = self.budget.as_ref()?;
        Some(budget.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl State {
    /// Grants claims that wait.
    fn admit(&mut self, now_us: u64) {
        loop {
            let admitted = self.budget.admit(now_us);
            if admitted.is_empty() {
                return;
            }
            for (ticket, id) in admitted {
                let index = self.waiting.iter().position(|&(other, _)| other == ticket);
                let granted = index.map(|index| self.waiting.swap_remove(index).1.send(id));
                // A claim that has just given up leaves its room to the next one.
                if granted != Some(Ok(())) {
                    self.budget.release(id);
                }
            }
        }
    }

    /// Logs refusals and closed holds, at most once a second.
    fn log(&mut self, now_us: u64) {
        let is_due = self
            .logged_us
            .is_none_or(|logged_us| now_us.saturating_sub(logged_us) >= LOG_INTERVAL_US);
        if !is_due || self.refused + self.closed == 0 {
            return;
        }
        let (account, account_bytes) = self.budget.largest_account().unwrap_or_default();
        warn!(
            "intake: short of memory held_bytes={} max_bytes={} waiting={} refused={} closed={} largest_account={account} account_bytes={account_bytes}",
            self.budget.held_bytes(),
            self.budget.bytes_max(),
            self.budget.waiting(),
            self.refused,
            self.closed,
        );
        self.logged_us = Some(now_us);
        (self.refused, self.closed) = (0, 0);
    }
}

/// Claim that waits until it is dropped.
struct Waiting {
    holds: Arc<Holds>,
    ticket: Ticket,
    granted: oneshot::Receiver<HoldId>,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.granted.close();
        if let Some(mut state) = self.holds.state() {
            state.budget.cancel(self.ticket);
            state.waiting.retain(|&(ticket, _)| ticket != self.ticket);
            // Granted while it gave up.
            if let Ok(id) = self.granted.try_recv() {
                state.budget.release(id);
                let now_us = self.holds.clock.now_us();
                state.admit(now_us);
            }
        }
    }
}

impl Hold {
    /// Returns the bytes that are held.
    pub(crate) const fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Holds further bytes if there is room.
    pub(crate) fn grow(&mut self, bytes: u64) -> Result<(), Shortage> {
        let now_us = self.holds.clock.now_us();
        if let Some(mut state) = self.holds.state() {
            state.budget.grow(now_us, self.id, bytes)?;
        }
        self.bytes += bytes;
        Ok(())
    }

    /// Sets what is held and gives back the rest.
    pub(crate) fn settle(&mut self, kind: Kind, bytes: u64) {
        let now_us = self.holds.clock.now_us();
        if let Some(mut state) = self.holds.state() {
            state.budget.settle(now_us, self.id, kind, bytes);
            state.admit(now_us);
        }
        self.bytes = self.bytes.min(bytes);
        self.holds.begun.notify_one();
    }

    /// Gives back what is held beyond this number of bytes, while its caller goes on reading.
    pub(crate) fn shrink(&mut self, bytes: u64) {
        let now_us = self.holds.clock.now_us();
        if let Some(mut state) = self.holds.state() {
            state.budget.shrink(self.id, bytes);
            state.admit(now_us);
        }
        self.bytes = self.bytes.min(bytes);
    }

    /// Records that the caller has sent or read bytes.
    pub(crate) fn record_progress(&self, bytes: u64) {
        if let Some(mut state) = self.holds.state() {
            state.budget.record_progress(self.id, bytes);
        }
    }

    /// Waits until the caller is too slow to be served any longer.
    pub(crate) async fn closed(&mut self) {
        if (&mut self.closed).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Returns the channel that tells that the caller is too slow; it fails once this is dropped.
    pub(crate) fn take_closed(&mut self) -> oneshot::Receiver<()> {
        std::mem::replace(&mut self.closed, oneshot::channel().1)
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        let now_us = self.holds.clock.now_us();
        if let Some(mut state) = self.holds.state() {
            if let Ok(index) = state.closers.binary_search_by_key(&self.id, |&(id, _)| id) {
                state.closers.remove(index);
            }
            state.budget.release(self.id);
            state.admit(now_us);
        }
    }
}

impl Drop for Discard<'_> {
    fn drop(&mut self) {
        self.holds.discards.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Body with the bytes that are held for it.
pub(crate) struct HeldBody {
    bytes: Bytes,
    _hold: Hold,
}

impl HeldBody {
    /// Returns the body as bytes that are given back with their last copy.
    pub(crate) fn share(bytes: Bytes, hold: Option<Hold>) -> Bytes {
        match hold {
            Some(hold) => Bytes::from_owner(Self { bytes, _hold: hold }),
            None => bytes,
        }
    }
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
