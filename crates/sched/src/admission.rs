//! Refusals: account limits, bound of the queue, deadlines that can't be met.

use code::Code;
use limit::LimitExceeded;
use queue::{Item, ItemKind};

use crate::{Action, Dispatcher, JobId, Reason, turn::Turn};

/// Attempts that a lane must have seen before its estimates refuse anything.
const SAMPLES_MIN: u32 = 8;

/// Retry time of a refusal for which there is no estimate.
pub(crate) const RETRY_AFTER_MS: u64 = 1_000;

/// Bounds of an estimated retry time: below it callers would poll, above it the estimate is stale.
const RETRY_AFTER_RANGE_MS: (u64, u64) = (100, 60_000);

impl Dispatcher {
    /// Refuses a new job that is over a limit of its client account.
    pub(crate) fn refuse_over_limit(
        &mut self,
        now_us: u64,
        id: JobId,
        account: &str,
        tokens: u64,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Err(exceeded) = self.limits.admit(now_us, account, tokens) else {
            return false;
        };
        let (code, retry_after_ms) = match exceeded {
            LimitExceeded::Rate { retry_after_us } => {
                (Code::RateLimited, retry_after_us.div_ceil(1_000))
            }
            LimitExceeded::Requests => (Code::RequestsInFlight, RETRY_AFTER_MS),
            LimitExceeded::Tokens => (Code::TokensInFlight, RETRY_AFTER_MS),
        };
        actions.push(Action::Refuse {
            id,
            code,
            retry_after_ms: retry_after_ms.clamp(1, RETRY_AFTER_RANGE_MS.1),
            reason: Reason::AccountLimit,
        });
        true
    }

    /// Brings the queue back to its bound after an arrival; returns whether that is refused.
    pub(crate) fn enforce_bound(
        &mut self,
        now_us: u64,
        id: JobId,
        actions: &mut Vec<Action>,
    ) -> bool {
        while self.queue.bounded_len() > self.queue_max {
            let Some(entry) = self.jobs.get(&id) else {
                return true;
            };
            let item = entry.item.clone();
            if let Some(newest) = self.queue.newest_below(item.tier) {
                let shed = JobId(newest.id);
                let retry_after_ms = self
                    .jobs
                    .get(&shed)
                    .map_or(RETRY_AFTER_MS, |entry| self.retry_after_ms(&entry.item));
                let reason = Reason::Shed { by: id };
                self.refuse(shed, Code::QueueFull, retry_after_ms, reason, actions);
            } else if !self.start_head_in_place(now_us, &item, actions) {
                let retry_after_ms = self.retry_after_ms(&item);
                self.refuse(
                    id,
                    Code::QueueFull,
                    retry_after_ms,
                    Reason::QueueFull,
                    actions,
                );
            }
        }
        self.jobs
            .get(&id)
            .is_none_or(|entry| entry.running.is_some())
    }

    /// Starts the next job of an arrival's lane and tier on a slot reserved for lower tiers.
    fn start_head_in_place(&mut self, now_us: u64, item: &Item, actions: &mut Vec<Action>) -> bool {
        let mut turn = turn_of(item);
        if let Some(head) = self.queue.head(turn.lane, turn.tier, ItemKind::ALL) {
            turn.id = JobId(head.id);
        }
        self.start_in_place(now_us, turn, actions)
    }

    /// Refuses a queued job that would not start before its deadline, given the service ahead.
    pub(crate) fn refuse_unreachable(
        &mut self,
        now_us: u64,
        id: JobId,
        ahead: u64,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(entry) = self.jobs.get(&id) else {
            return true;
        };
        let item = entry.item.clone();
        let Some(wait_us) = self.wait_us_behind(&item, ahead) else {
            return false;
        };
        if now_us.saturating_add(wait_us) <= item.deadline_us {
            return false;
        }
        if self.start_in_place(now_us, turn_of(&item), actions) {
            return true;
        }
        let late_ms = (now_us + wait_us - item.deadline_us).div_ceil(1_000);
        let retry_after_ms = late_ms.clamp(RETRY_AFTER_RANGE_MS.0, RETRY_AFTER_RANGE_MS.1);
        let reason = Reason::EstimatedWait { wait_us };
        self.refuse(
            id,
            Code::DeadlineUnreachable,
            retry_after_ms,
            reason,
            actions,
        );
        true
    }

    /// Returns when a job with the same needs is likely to start.
    pub(crate) fn retry_after_ms(&self, item: &Item) -> u64 {
        self.estimate_wait_us(item)
            .map_or(RETRY_AFTER_MS, |wait_us| {
                let wait_ms = wait_us.div_ceil(1_000);
                wait_ms.clamp(RETRY_AFTER_RANGE_MS.0, RETRY_AFTER_RANGE_MS.1)
            })
    }

    /// Estimates how long a queued job waits; `None` if too little is known.
    fn estimate_wait_us(&self, item: &Item) -> Option<u64> {
        self.wait_us_behind(item, self.queue.cost_ahead(item))
    }

    /// Estimates the wait behind so much service of the same tier.
    ///
    /// In its turn a job waits for the work of higher tiers too, served by the slots that the lane
    /// holds now, less what higher tiers took of the recent starts. On its reserved share it waits
    /// for its own tier only. The shorter wait counts. What is reserved for lower tiers is not
    /// deducted, since it is a bound and not always used.
    fn wait_us_behind(&self, item: &Item, ahead: u64) -> Option<u64> {
        let lane = &self.topology.lanes[item.lane];
        if lane.running == 0 || lane.token_time.samples() < SAMPLES_MIN {
            return None;
        }
        let tier = usize::from(item.tier);
        let wait_us = |cost: u64, permille: u32| {
            let work_us = cost.saturating_mul(lane.token_time.get()) / 16;
            let work_us = work_us.saturating_add(lane.hold_us.get());
            let rate_permille = u64::from(lane.running) * u64::from(permille);
            let wait_us = work_us.saturating_mul(1_000).checked_div(rate_permille);
            wait_us.unwrap_or(u64::MAX)
        };
        let left_permille = 1_000_u32.saturating_sub(lane.higher_permille[tier]);
        let all = ahead.saturating_add(self.queue.cost_of_higher_tiers(item));
        let reserve = &self.topology.groups[lane.group].reserve;
        let reserved_permille = u32::from(reserve.percent(tier)) * 10;
        Some(wait_us(all, left_permille).min(wait_us(ahead, reserved_permille)))
    }
}

pub(crate) fn turn_of(item: &Item) -> Turn {
    Turn {
        id: JobId(item.id),
        lane: item.lane,
        tier: usize::from(item.tier),
        reserved: false,
    }
}
