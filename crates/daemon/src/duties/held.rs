use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use duty::{Hold, HoldChange, Holder, HolderStep, HolderTiming};
use limit::TokenBucket;
use settings::{Duties, DutyKind, Host};
use store::{Row, StoreError, StoreVersion};

use super::steady_clock::SteadyClock;
use crate::adapter::CallResult;

/// Longest time limit of a call: a round trip between regions with a margin for a slow service.
const CALL_TIMEOUT_MAX: Duration = Duration::from_secs(1);

/// Part of a lease that a call may take: it has to fit into what remains when a lease is renewed.
const CALL_DIVISOR: u32 = 3;

/// Last call of a duty.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct LastCall {
    /// Time of the result, by [`Held::now_us`].
    pub(crate) at_us: u64,
    /// Result.
    pub(crate) result: CallResult,
}

/// Whether this host holds the duties of the fleet, for the tasks that carry them out.
///
/// One hold covers all duties, so their calls bear one token.
#[derive(Debug)]
pub(crate) struct Held {
    clock: SteadyClock,
    call_timeout: Duration,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    /// `None` on a deployment without duties.
    holder: Option<Holder>,
    calls: TokenBucket,
    last_calls: Vec<(DutyKind, LastCall)>,
}

impl Held {
    /// Creates a host that holds nothing; `run` must be unique among all runs of the daemon.
    pub(crate) fn new(host: &Host, run: u64) -> Self {
        let clock = SteadyClock::new();
        let now_us = clock.now_us();
        let duties = host.duties.as_ref();
        let holder = duties.map(|duties| {
            let call_us = micros(call_timeout(duties));
            let timing =
                HolderTiming::new(duties.lease_ms * 1_000, duties.thaw_ms * 1_000, call_us);
            Holder::new(timing, &host.name, &format!("{run:016x}"), now_us)
        });
        Self {
            clock,
            call_timeout: duties.map_or(CALL_TIMEOUT_MAX, call_timeout),
            state: Mutex::new(State {
                holder,
                calls: TokenBucket::new(now_us, calls_per_s(duties)),
                last_calls: Vec::new(),
            }),
        }
    }

    /// Returns the time by which a hold ends; it also advances while the host is suspended.
    pub(crate) fn now_us(&self) -> u64 {
        self.clock.now_us()
    }

    /// Returns the longest time limit of a call.
    pub(crate) const fn call_timeout(&self) -> Duration {
        self.call_timeout
    }

    /// Returns the hold, if there is one now.
    pub(crate) fn current(&self) -> Option<Hold> {
        let now_us = self.now_us();
        self.state().holder.as_ref()?.current(now_us)
    }

    /// Returns the hold for a call that is sent at once and stopped after `call_us`, if the hold
    /// lasts so long and the rate of calls allows one more.
    ///
    /// The result of the call has to be passed to [`finish_call`](Self::finish_call).
    pub(crate) fn begin_call(&self, call_us: u64) -> Option<Hold> {
        let now_us = self.now_us();
        let mut state = self.state();
        if state.calls.wait_us(now_us) > 0 {
            return None;
        }
        let hold = state.holder.as_mut()?.begin_call(now_us, call_us)?;
        state.calls.try_take(now_us);
        Some(hold)
    }

    /// Records the result of a call.
    pub(crate) fn finish_call(&self, kind: DutyKind, result: CallResult) {
        let at_us = self.now_us();
        let call = LastCall { at_us, result };
        let mut state = self.state();
        if let Some(holder) = &mut state.holder {
            holder.finish_call(result.is_answered(), result.is_uncertain());
        }
        match state
            .last_calls
            .binary_search_by_key(&kind, |entry| entry.0)
        {
            Ok(index) => state.last_calls[index].1 = call,
            Err(index) => state.last_calls.insert(index, (kind, call)),
        }
    }

    /// Returns the last call of a duty that this host made.
    pub(crate) fn last_call(&self, kind: DutyKind) -> Option<LastCall> {
        let state = self.state();
        let index = state
            .last_calls
            .binary_search_by_key(&kind, |entry| entry.0);
        index.ok().map(|index| state.last_calls[index].1)
    }

    /// Returns the next step to acquire, keep or give back the duties, with the changes since the
    /// last one; `era` is the newest known one of the store.
    pub(super) fn step(
        &self,
        is_candidate: bool,
        stops: bool,
        era: u64,
    ) -> (HolderStep, Vec<HoldChange>) {
        self.with_holder(|now_us, holder| {
            holder.see_era(now_us, era);
            holder.set_candidate(is_candidate);
            if stops {
                holder.stop();
            }
            (holder.step(now_us), holder.take_changes())
        })
        .unwrap_or((HolderStep::Wait { until_us: u64::MAX }, Vec::new()))
    }

    /// Handles the result of reading the row of the lease, with the era that the table knows then.
    pub(super) fn handle_read(&self, era: u64, result: Result<Option<Row>, StoreError>) {
        self.with_holder(|now_us, holder| {
            holder.see_era(now_us, era);
            holder.handle_read(now_us, result);
        });
    }

    /// Handles the result of writing the row of the lease, with the era that the table knows then.
    pub(super) fn handle_write(&self, era: u64, result: Result<StoreVersion, StoreError>) {
        self.with_holder(|now_us, holder| {
            holder.see_era(now_us, era);
            holder.handle_write(now_us, result);
        });
    }

    /// Records a token of another holder.
    pub(super) fn see_token(&self, token: u64) {
        self.with_holder(|_, holder| holder.see_token(token));
    }

    fn with_holder<F, R>(&self, access: F) -> Option<R>
    where
        F: FnOnce(u64, &mut Holder) -> R,
    {
        let mut state = self.state();
        let now_us = self.now_us();
        state.holder.as_mut().map(|holder| access(now_us, holder))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the rate of calls in whole numbers, at least one a second: the control service refuses
/// what is beyond its own.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "checked to lie within the range of the settings"
)]
fn calls_per_s(duties: Option<&Duties>) -> u32 {
    duties.map_or(1, |duties| duties.calls_per_s.max(1.0) as u32)
}

/// Returns the longest time limit of a call.
fn call_timeout(duties: &Duties) -> Duration {
    let lease = Duration::from_millis(duties.lease_ms);
    CALL_TIMEOUT_MAX.min(lease / CALL_DIVISOR)
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
