//! Admission control: account limits, the bound of the queue, deadlines that can't be met.

use code::Code;
use limit::LimitExceeded;
use queue::{Item, ItemKind};

use crate::{Action, Dispatcher, JobId, Reason, candidate::Candidate};

/// Number of ended attempts that a lane needs before its wait estimate is used.
const SAMPLES_MIN: u32 = 8;

/// Retry time of a refusal without a wait estimate.
pub(crate) const RETRY_AFTER_MS: u64 = 1_000;

/// Bounds of an estimated retry time: a shorter one makes callers poll, a longer one relies on an
/// estimate that is stale by then.
const RETRY_AFTER_RANGE_MS: (u64, u64) = (100, 60_000);

impl Dispatcher {
    /// Refuses a new job that is over a limit of its client account; returns whether it did.
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

    /// Sheds or starts jobs after the arrival of `id` until the queue is within its bound.
    ///
    /// Returns whether the arrival no longer waits: it was refused or started.
    pub(crate) fn enforce_queue_bound(
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
                let retry_after_ms = self.jobs.get(&shed).map_or(RETRY_AFTER_MS, |entry| {
                    self.retry_after_ms(now_us, &entry.item)
                });
                let reason = Reason::Shed { by: id };
                self.refuse(shed, Code::QueueFull, retry_after_ms, reason, actions);
            } else if !self.start_head_by_preempting_reserved(now_us, &item, actions) {
                let retry_after_ms = self.retry_after_ms(now_us, &item);
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

    /// Starts the next job of an arrival's lane and tier by preempting a job on a reserved slot.
    fn start_head_by_preempting_reserved(
        &mut self,
        now_us: u64,
        item: &Item,
        actions: &mut Vec<Action>,
    ) -> bool {
        let mut candidate = candidate_of(item);
        if let Some(head) = self
            .queue
            .head(candidate.lane, candidate.tier, ItemKind::ALL)
        {
            candidate.id = JobId(head.id);
        }
        self.start_by_preempting_reserved(now_us, candidate, actions)
    }

    /// Refuses a queued job that isn't expected to start before its deadline.
    ///
    /// `ahead` is the service of its tier that starts earlier. Tries to preempt a job on a reserved
    /// slot first. Returns whether the job no longer waits.
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
        if self.start_by_preempting_reserved(now_us, candidate_of(&item), actions) {
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

    /// Returns the retry time for a job with the same needs: its estimated wait, after the return of
    /// the first upstream if all have asked for a pause.
    pub(crate) fn retry_after_ms(&self, now_us: u64, item: &Item) -> u64 {
        let (min_ms, max_ms) = RETRY_AFTER_RANGE_MS;
        let wait_ms = self
            .estimate_wait_us(item)
            .map(|wait_us| wait_us.div_ceil(1_000).clamp(min_ms, max_ms));
        match self.resume_delay_ms(now_us, item) {
            Some(resume_delay_ms) => (resume_delay_ms + wait_ms.unwrap_or(0)).max(min_ms),
            None => wait_ms.unwrap_or(RETRY_AFTER_MS),
        }
    }

    /// Estimates how long a queued job waits; `None` without enough samples.
    fn estimate_wait_us(&self, item: &Item) -> Option<u64> {
        self.wait_us_behind(item, self.queue.cost_ahead(item))
    }

    /// Estimates the wait of a job behind `ahead` tokens of service of its own tier.
    ///
    /// Returns the shorter of two estimates, both for the slots that the lane holds now. For a
    /// regular start, the job also waits for the queued work of higher tiers, and the share of
    /// recent starts that higher tiers took is deducted from the service rate. For a start on the
    /// reserved share of its tier, it waits only for its own tier. The reserved shares of lower
    /// tiers aren't deducted, since they are upper bounds and not always used.
    fn wait_us_behind(&self, item: &Item, ahead: u64) -> Option<u64> {
        let lane = &self.topology.lanes[item.lane];
        if lane.running == 0 || lane.token_time_us_x16.samples() < SAMPLES_MIN {
            return None;
        }
        let tier = usize::from(item.tier);
        let wait_us = |cost: u64, permille: u32| {
            let work_us = cost.saturating_mul(lane.token_time_us_x16.get()) / 16;
            let work_us = work_us.saturating_add(lane.hold_us.get());
            let rate_permille = u64::from(lane.running) * u64::from(permille);
            let wait_us = work_us.saturating_mul(1_000).checked_div(rate_permille);
            wait_us.unwrap_or(u64::MAX)
        };
        let left_permille = 1_000_u32.saturating_sub(lane.higher_tiers_permille[tier]);
        let all = ahead.saturating_add(self.queue.cost_of_higher_tiers(item));
        let reserve = &self.topology.groups[lane.group].reserve;
        let reserved_permille = u32::from(reserve.percent(tier)) * 10;
        Some(wait_us(all, left_permille).min(wait_us(ahead, reserved_permille)))
    }
}

/// Returns a candidate for a regular start of a queued job.
pub(crate) fn candidate_of(item: &Item) -> Candidate {
    Candidate {
        id: JobId(item.id),
        lane: item.lane,
        tier: usize::from(item.tier),
        reserved: false,
    }
}
