use std::sync::{Mutex, MutexGuard, PoisonError};

use limit::TokenBucket;
use settings::{Duties, DutyKind};

use super::steady_clock::SteadyClock;
use crate::adapter::CallResult;

/// Hold of this host on the duties of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Hold {
    /// Fencing token of the hold.
    pub(crate) token: u64,
    /// Time at which the hold ends, unless it is renewed, by [`Held::now_us`].
    pub(crate) until_us: u64,
}

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
/// The task of the holder updates it. One hold covers all duties, so their calls bear one token.
#[derive(Debug)]
pub(crate) struct Held {
    clock: SteadyClock,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    hold: Option<Hold>,
    calls: TokenBucket,
    last_calls: Vec<(DutyKind, LastCall)>,
}

impl Held {
    /// Creates a host that holds nothing.
    pub(crate) fn new(duties: Option<&Duties>) -> Self {
        let clock = SteadyClock::new();
        Self {
            clock,
            state: Mutex::new(State {
                hold: None,
                calls: TokenBucket::new(clock.now_us(), calls_per_s(duties)),
                last_calls: Vec::new(),
            }),
        }
    }

    /// Returns the time by which a hold ends; it also advances while the machine is suspended.
    pub(crate) fn now_us(&self) -> u64 {
        self.clock.now_us()
    }

    /// Returns the hold, if there is one now.
    pub(crate) fn current(&self) -> Option<Hold> {
        let now_us = self.now_us();
        self.state().hold.filter(|hold| now_us < hold.until_us)
    }

    /// Returns the hold for a call that is sent at once and stopped after `call_us`, if the hold
    /// lasts so long and the rate of calls allows one more.
    pub(crate) fn begin_call(&self, call_us: u64) -> Option<Hold> {
        let now_us = self.now_us();
        let mut state = self.state();
        let hold = state.hold?;
        let lasts = now_us.saturating_add(call_us) < hold.until_us;
        (lasts && state.calls.try_take(now_us)).then_some(hold)
    }

    /// Records the result of a call.
    pub(crate) fn finish_call(&self, kind: DutyKind, result: CallResult) {
        let at_us = self.now_us();
        let call = LastCall { at_us, result };
        let mut state = self.state();
        match state
            .last_calls
            .binary_search_by_key(&kind, |entry| entry.0)
        {
            Ok(index) => state.last_calls[index].1 = call,
            Err(index) => state.last_calls.insert(index, (kind, call)),
        }
    }

    /// Returns the last call of a duty.
    pub(crate) fn last_call(&self, kind: DutyKind) -> Option<LastCall> {
        let state = self.state();
        let index = state
            .last_calls
            .binary_search_by_key(&kind, |entry| entry.0);
        index.ok().map(|index| state.last_calls[index].1)
    }

    /// Replaces the hold.
    pub(crate) fn set(&self, hold: Option<Hold>) {
        self.state().hold = hold;
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
