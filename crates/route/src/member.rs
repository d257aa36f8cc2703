use std::sync::Arc;

use health::Sighting;
use settings::{Upstream, UpstreamLifecycle};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    LoadReport, cohort::Cohort, engine_state::EngineState, pending::Pending, ratio::Ratio,
    tree_position::TreePosition,
};

/// Ratio of waited to expected time above which a pending first token counts as overdue.
const OVERDUE_RATIO: f64 = 3.0;

/// Weight of an observed or overdue first token; the time between two tokens has weight 1.
pub const FIRST_TOKEN_WEIGHT: f64 = 2.0;

/// Smallest weight of observations from which a slow upstream may be ejected: four tokens, or two
/// first tokens.
const EVIDENCE_MIN: f64 = 4.0;

/// Slow-down up to which a difference counts as noise. Batches and prefills of other jobs vary by
/// that much, and reacting to them makes all daemons crowd onto the same upstreams.
const SLOWDOWN_NOISE: f64 = 1.5;

/// Smallest slow-down, so that a few fast observations don't attract too much work.
const SLOWDOWN_MIN: f64 = 0.5;

/// Largest slow-down; larger ones are clamped to it.
const SLOWDOWN_MAX: f64 = 64.0;

/// Time constant of the exponential decay of a load report.
const REPORT_DECAY_US: f64 = 20_000_000.0;

/// Smoothing factor for load reports. It is small because reports lag by seconds.
const REPORT_GAIN: f64 = 0.3;

/// Reported load of other daemons that is ignored, as a share of the slots. Daemons that all react
/// to small differences in reports from seconds ago crowd onto one upstream after another.
const PEER_LOAD_DEAD_BAND: f64 = 0.75;

/// Cache use from which an engine starts to preempt sequences.
const CACHE_FULL_PERMILLE: u32 = 950;

/// Time after a rejection before the assumed capacity starts to recover.
const REJECT_HOLD_US: u64 = 1_000_000;

/// Share of the slots by which the assumed capacity recovers per second.
const CAPACITY_RECOVERY_PER_S: f64 = 0.125;

/// Load above which the wait grows quadratically.
const LOAD_KNEE: f64 = 0.7;

/// Length of one step of the ramp-up after reinstatement.
const RAMP_STEP_US: u64 = 1_000_000;

/// Weights during the ramp-up after reinstatement, one for each step.
const RAMP: [f64; 3] = [0.25, 0.5, 0.75];

/// Weight of a failing upstream that isn't ejected because of the bound on ejections.
const FAILING_WEIGHT: f64 = 1.0 / 16.0;

/// Ejection time after the first failure; each further failure doubles it.
const FAILURE_EJECTION_US: u64 = 500_000;

/// Longest ejection time after a failure.
const FAILURE_EJECTION_MAX_US: u64 = 30_000_000;

/// Longest time for which an upstream counts as unreachable after a failure. It may be back at any
/// time, and a refused connection costs little.
const UNREACHABLE_MAX_US: u64 = 1_000_000;

/// Consecutive error answers that count as a failure; a single one may be the request's fault.
const CONSECUTIVE_ERRORS_MAX: u32 = 3;

/// Upstream with its configuration and this daemon's record of its performance.
#[derive(Debug, Clone)]
pub struct Member {
    /// Name.
    pub name: Arc<str>,
    /// Hash of the name.
    pub id: u64,
    /// Configuration in force.
    pub settings: Upstream,
    /// Whether the configuration still lists it.
    pub configured: bool,
    /// Whether it is leaving, even if the configuration lists it as live.
    pub leaving: bool,
    /// Jobs that this daemon runs on it.
    pub outstanding: u32,
    /// Largest number of jobs that this daemon may run on it; `None` for no limit.
    pub share: Option<u32>,
    /// Positions in the trees of its groups.
    pub tree_positions: Vec<TreePosition>,
    /// Index of its cohort.
    pub cohort: u32,
    /// Attempts without a first token, oldest first.
    pub pending: Vec<Pending>,
    /// Ratio of time to first token to the predicted one.
    pub first_token: Ratio,
    /// Ratio of time between tokens to the predicted one.
    pub gap: Ratio,
    /// Whether it is ejected, so that it gets only probes.
    pub ejected: bool,
    /// Time of the next probe while it is ejected.
    pub probe_due_us: u64,
    /// Time at which it was last reinstated.
    pub reinstated_us: Option<u64>,
    /// End of the ejection that failures caused, or of the reduced weight in its place.
    pub failing_until_us: u64,
    /// Time until which this daemon's own failures say that it can't be reached.
    pub unreachable_until_us: u64,
    /// Time until which other daemons' evidence says that it can't be reached.
    pub doubted_until_us: u64,
    /// Time at which it last answered something.
    pub alive_us: u64,
    /// Time at which an attempt last ended.
    pub tried_us: u64,
    /// Time since which it gets no work because it can't be reached, while others of its cohort can.
    pub down_since_us: Option<u64>,
    /// End of the pause that it asked for; `None` once the pool has noticed that it is over.
    pub paused_until_us: Option<u64>,
    /// Random fraction of a slot that orders equal upstreams differently in each daemon.
    pub jitter: f64,
    /// Slow-down at the last check for ejection; small changes are ignored.
    pub slowdown: f64,
    /// Estimated work and cache, used for model engines.
    pub engine: EngineState,
    /// Consecutive failures.
    failures: u32,
    /// Time of the last failure.
    failed_us: u64,
    /// Running attempts that started before the last failure.
    started_before_failure: u32,
    /// Consecutive error answers.
    errors: u32,
    /// Smoothed number of jobs of other daemons, from load reports.
    peer_jobs: f64,
    peer_jobs_us: u64,
    /// Jobs that the upstream is assumed to accept, at most its slots.
    capacity: f64,
    capacity_updated_us: u64,
}

impl Member {
    /// Creates a member without history.
    pub fn new(settings: &Upstream) -> Self {
        Self {
            name: settings.name.as_str().into(),
            id: xxh3_64(settings.name.as_bytes()),
            settings: settings.clone(),
            configured: true,
            leaving: false,
            outstanding: 0,
            share: None,
            tree_positions: Vec::new(),
            cohort: 0,
            pending: Vec::new(),
            first_token: Ratio::default(),
            gap: Ratio::default(),
            ejected: false,
            probe_due_us: 0,
            reinstated_us: None,
            failing_until_us: 0,
            unreachable_until_us: 0,
            doubted_until_us: 0,
            alive_us: 0,
            tried_us: 0,
            down_since_us: None,
            paused_until_us: None,
            jitter: 0.0,
            slowdown: 1.0,
            engine: EngineState::default(),
            failures: 0,
            failed_us: 0,
            started_before_failure: 0,
            errors: 0,
            peer_jobs: 0.0,
            peer_jobs_us: 0,
            capacity: f64::from(settings.slots),
            capacity_updated_us: 0,
        }
    }

    /// Applies new settings. A change of the address or the start time discards the history.
    pub fn set_settings(&mut self, settings: &Upstream) {
        let restarted = self.settings.started_ms != settings.started_ms;
        if self.settings.address != settings.address || restarted {
            let old = std::mem::replace(self, Self::new(settings));
            self.outstanding = old.outstanding;
            self.share = old.share;
        } else if self.settings.slots != settings.slots {
            let lowered = self.capacity < f64::from(self.settings.slots);
            let slots = f64::from(settings.slots);
            self.capacity = if lowered {
                self.capacity.min(slots)
            } else {
                slots
            };
        }
        self.settings = settings.clone();
        self.configured = true;
    }

    /// Returns whether it accepts new work.
    pub fn is_live(&self) -> bool {
        self.configured && !self.leaving && self.settings.state == UpstreamLifecycle::Live
    }

    /// Returns whether it accepts new work, didn't ask for a pause, and this daemon's share isn't 0.
    pub fn is_usable(&self) -> bool {
        self.accepts_requests() && self.share != Some(0)
    }

    /// Returns whether requests may be sent to it now.
    pub fn accepts_requests(&self) -> bool {
        self.may_accept_requests() && self.down_since_us.is_none()
    }

    /// Returns whether requests may be sent to it now if it can be reached.
    pub fn may_accept_requests(&self) -> bool {
        self.is_live() && self.paused_until_us.is_none()
    }

    /// Returns whether this daemon has a free slot on it.
    pub fn has_room(&self) -> bool {
        let share = self.share.unwrap_or(u32::MAX);
        self.outstanding < share.min(self.assumed_slots())
    }

    /// Returns whether a slot is free when its slots are divided by its slow-down.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the quotient lies between 0 and the slots"
    )]
    pub fn has_room_when_slow(&self) -> bool {
        let limit = self.share.unwrap_or(u32::MAX).min(self.assumed_slots());
        let slow_limit = (f64::from(limit) / self.slowdown.max(1.0)) as u32;
        self.outstanding < slow_limit.max(1).min(limit)
    }

    /// Returns the declared memory of an engine in tokens; infinite if it isn't declared.
    #[expect(clippy::cast_precision_loss, reason = "far fewer than 2^52 tokens")]
    pub fn memory_tokens(&self) -> f64 {
        let declared = self.settings.engine.map_or(0, |engine| engine.cache_tokens);
        if declared == 0 {
            f64::INFINITY
        } else {
            declared as f64
        }
    }

    /// Returns whether recent failures keep work away from it.
    pub const fn is_failing(&self, now_us: u64) -> bool {
        now_us < self.failing_until_us
    }

    /// Returns what this daemon itself knows about its reachability.
    pub const fn sighting(&self) -> Sighting {
        Sighting {
            started_ms: self.settings.started_ms,
            alive_us: self.alive_us,
            tried_us: self.tried_us,
        }
    }

    /// Returns the share of normal work that it gets, 0 to 1.
    pub fn weight(&self, now_us: u64) -> f64 {
        let weight = if self.ejected || !self.accepts_requests() {
            0.0
        } else if self.is_failing(now_us) {
            FAILING_WEIGHT
        } else {
            self.ramp(now_us)
        };
        weight / self.penalty()
    }

    /// Halves the jitter, so that an idle upstream is selected eventually.
    pub const fn age_jitter(&mut self) {
        self.jitter *= 0.5;
    }

    /// Returns the factor by which the slow-down increases the expected wait.
    fn penalty(&self) -> f64 {
        1.0 + 2.0 * (self.slowdown - SLOWDOWN_NOISE).max(0.0)
    }

    /// Returns the share of its capacity that is used during the ramp-up after reinstatement.
    fn ramp(&self, now_us: u64) -> f64 {
        self.reinstated_us.map_or(1.0, |since_us| {
            let step = now_us.saturating_sub(since_us) / RAMP_STEP_US;
            let step = usize::try_from(step).unwrap_or(usize::MAX);
            RAMP.get(step).copied().unwrap_or(1.0)
        })
    }

    /// Returns the load key by which its groups order it; infinite if it can't be selected.
    pub fn key(&self, now_us: u64) -> f64 {
        if self.accepts_requests() && !self.ejected && self.has_room() {
            self.relative_wait(now_us)
        } else {
            f64::INFINITY
        }
    }

    /// Returns the expected time to first token in relative units; an idle upstream has 0.5.
    pub fn relative_wait(&self, now_us: u64) -> f64 {
        // With a share, other daemons have their own shares, so only this daemon's jobs count.
        let (capacity, peer_jobs) = match self.share {
            Some(share) => (self.capacity.min(f64::from(share)), 0.0),
            None => (self.capacity, self.peer_jobs(now_us)),
        };
        let own_load = (f64::from(self.outstanding) + 0.5 * self.jitter) / capacity.max(1.0);
        let peer_jobs = peer_jobs / f64::from(self.settings.slots.max(1));
        let peer_jobs = (peer_jobs - PEER_LOAD_DEAD_BAND).max(0.0) / (1.0 - PEER_LOAD_DEAD_BAND);
        let load = (own_load + peer_jobs) / self.ramp(now_us);
        let over = (load - LOAD_KNEE).max(0.0);
        let wait = 0.5 + 0.3 * load + 8.0 * over * over;
        let failing_weight = if self.is_failing(now_us) {
            FAILING_WEIGHT
        } else {
            1.0
        };
        self.penalty() * wait / failing_weight
    }

    /// Returns the estimated number of jobs of other daemons.
    #[expect(clippy::cast_precision_loss, reason = "intervals are far below 2^52")]
    pub fn peer_jobs(&self, now_us: u64) -> f64 {
        if self.peer_jobs <= 0.0 {
            return 0.0;
        }
        let age_us = now_us.saturating_sub(self.peer_jobs_us) as f64;
        // Own observations take precedence: the more there are, the less the report counts.
        let report_weight = 1.0 / (1.0 + self.gap.weight(now_us));
        self.peer_jobs * report_weight * (-age_us / REPORT_DECAY_US).exp()
    }

    /// Returns the ratio of time to first token, including overdue first tokens that are pending.
    pub fn first_token_with_overdue(&self, now_us: u64, cohort: &Cohort) -> Ratio {
        let mut ratio = self.first_token.clone();
        if cohort.has_first_token {
            for pending in &self.pending {
                let waited = pending.waited(now_us);
                if waited > OVERDUE_RATIO {
                    ratio.observe(now_us, waited, FIRST_TOKEN_WEIGHT);
                }
            }
        }
        ratio
    }

    /// Returns the slow-down relative to the median of its peers, and the same from only those
    /// signals that have enough observations for an ejection.
    pub fn slowdown(&self, now_us: u64, cohort: &Cohort) -> (f64, f64) {
        let first_token = self.first_token_with_overdue(now_us, cohort);
        let signals = [
            (&first_token, cohort.first_token_median),
            (&self.gap, cohort.gap_median),
        ];
        let (mut all, mut proven) = (0.0_f64, 0.0_f64);
        for (ratio, median) in signals {
            let relative = ratio.relative(now_us, median);
            all = all.max(relative);
            if ratio.weight(now_us) >= EVIDENCE_MIN {
                proven = proven.max(relative);
            }
        }
        (all.clamp(SLOWDOWN_MIN, SLOWDOWN_MAX), proven)
    }

    /// Removes and returns the pending attempt that was sent closest to a time.
    pub fn take_pending(&mut self, sent_us: u64) -> Option<Pending> {
        let index = (0..self.pending.len())
            .min_by_key(|&index| self.pending[index].sent_us.abs_diff(sent_us))?;
        Some(self.pending.remove(index))
    }

    /// Records a load report.
    pub fn record_load_report(&mut self, now_us: u64, load: &LoadReport) {
        let others = |all: u32| f64::from(all.saturating_sub(self.outstanding));
        let mut reported = others(load.running.saturating_add(load.waiting));
        if load.cache_used_permille >= CACHE_FULL_PERMILLE {
            reported = reported.max(others(self.settings.slots));
        }
        self.peer_jobs += REPORT_GAIN * (reported - self.peer_jobs);
        self.peer_jobs_us = now_us;
    }

    /// Records the first token of an attempt that was sent at `sent_us`.
    pub fn record_first_token(&mut self, now_us: u64, sent_us: u64) {
        if sent_us >= self.failed_us {
            self.reset_failures(now_us);
        }
    }

    /// Records a complete answer. It resets the failures only if no running attempt started before
    /// the last failure, because such an attempt says nothing about the present state.
    pub fn record_complete(&mut self, now_us: u64) {
        if self.started_before_failure == 0 {
            self.reset_failures(now_us);
        }
    }

    /// Frees a slot.
    pub const fn free_slot(&mut self) {
        self.outstanding = self.outstanding.saturating_sub(1);
        self.started_before_failure = self.started_before_failure.saturating_sub(1);
    }

    /// Records a failed connection or a lost answer.
    pub fn record_failure(&mut self, now_us: u64) {
        let time_us = FAILURE_EJECTION_US.saturating_mul(1 << self.failures.min(10));
        self.failures += 1;
        self.failed_us = now_us;
        self.started_before_failure = self.outstanding;
        self.failing_until_us = now_us.saturating_add(time_us.min(FAILURE_EJECTION_MAX_US));
        self.reinstated_us = Some(self.failing_until_us);
    }

    /// Records that the last failure says that it can't be reached at all.
    pub fn record_unreachable(&mut self, now_us: u64) {
        let longest_us = now_us.saturating_add(UNREACHABLE_MAX_US);
        self.unreachable_until_us = self.failing_until_us.min(longest_us);
    }

    /// Records an error answer.
    pub fn record_error(&mut self, now_us: u64) {
        self.errors += 1;
        if self.errors >= CONSECUTIVE_ERRORS_MAX {
            self.errors = 0;
            self.record_failure(now_us);
        }
    }

    /// Records that the upstream rejected one job while `running` others ran.
    pub fn record_rejection(&mut self, now_us: u64, running: u32) {
        self.capacity = self.capacity.min(f64::from(running)).max(1.0);
        let hold_until_us = now_us.saturating_add(REJECT_HOLD_US);
        self.capacity_updated_us = self.capacity_updated_us.max(hold_until_us);
    }

    /// Gives it no work until a time. After that it gets the smallest assumed capacity, which
    /// recovers gradually, so that requests don't all return at once.
    pub fn pause(&mut self, until_us: u64) {
        self.paused_until_us = self.paused_until_us.max(Some(until_us));
        self.capacity = 1.0;
        self.capacity_updated_us = self.capacity_updated_us.max(until_us);
    }

    /// Ends a pause that is over; returns whether it did.
    pub fn end_pause(&mut self, now_us: u64) -> bool {
        self.paused_until_us
            .take_if(|until_us| *until_us <= now_us)
            .is_some()
    }

    /// Returns whether it is assumed to accept fewer jobs than it has slots, after a rejection.
    pub fn has_reduced_capacity(&self) -> bool {
        self.capacity < f64::from(self.settings.slots)
    }

    /// Raises the assumed capacity by what it has recovered up to now.
    #[expect(clippy::cast_precision_loss, reason = "intervals are far below 2^52")]
    pub fn recover_capacity(&mut self, now_us: u64) {
        let slots = f64::from(self.settings.slots);
        if self.capacity < slots && now_us > self.capacity_updated_us {
            let elapsed_s = (now_us - self.capacity_updated_us) as f64 / 1e6;
            self.capacity_updated_us = now_us;
            self.capacity =
                (self.capacity + slots * CAPACITY_RECOVERY_PER_S * elapsed_s).min(slots);
        }
    }

    /// Ends the failing state after a success.
    fn reset_failures(&mut self, now_us: u64) {
        self.failures = 0;
        self.errors = 0;
        self.failing_until_us = self.failing_until_us.min(now_us);
        self.unreachable_until_us = self.unreachable_until_us.min(now_us);
        self.reinstated_us = self.reinstated_us.map(|since_us| since_us.min(now_us));
    }

    /// Returns the assumed capacity in whole slots.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the capacity lies between 1 and the slots"
    )]
    const fn assumed_slots(&self) -> u32 {
        self.capacity as u32
    }
}
