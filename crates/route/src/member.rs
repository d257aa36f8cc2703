use std::sync::Arc;

use settings::{Upstream, UpstreamLifecycle};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    LoadReport, cohort::Cohort, engine_state::EngineState, pending::Pending, ratio::Ratio,
    seat::Seat,
};

/// Waiting time over the expected one from which an awaited first token counts as slow.
const SILENCE_RATIO: f64 = 3.0;

/// Weight of an observed or overdue first token; a token gap weighs 1.
pub const FIRST_TOKEN_WEIGHT: f64 = 2.0;

/// Weight of observations below which a slow upstream isn't ejected: four tokens, or two first
/// tokens.
const EVIDENCE_MIN: f64 = 4.0;

/// Slow-down up to which the difference is taken for chance: batches and prefills of other jobs
/// vary that much, and following them makes all daemons crowd the same upstreams.
const SLOWDOWN_NOISE: f64 = 1.5;

/// Smallest slow-down, so that a few lucky observations attract no crowd.
const SLOWDOWN_MIN: f64 = 0.5;

/// Largest slow-down that is told apart from a larger one.
const SLOWDOWN_MAX: f64 = 64.0;

/// Age at which a load report counts for 1/e.
const REPORT_DECAY_US: f64 = 20_000_000.0;

/// Part of the way that one load report moves the estimate; reports lag by seconds.
const REPORT_GAIN: f64 = 0.3;

/// Reported load of other daemons that is ignored. Daemons that all follow small differences in
/// reports from seconds ago crowd the same upstreams in turn.
const FOREIGN_BAND: f64 = 0.75;

/// Cache use from which an engine starts to preempt sequences.
const CACHE_FULL_PERMILLE: u32 = 950;

/// Time after a rejection before the assumed capacity starts to grow again.
const REJECT_HOLD_US: u64 = 1_000_000;

/// Part of the slots by which the assumed capacity grows in a second.
const REGAIN_PER_S: f64 = 0.125;

/// Load from which waiting grows quickly.
const LOAD_KNEE: f64 = 0.7;

/// Time between the steps in which a reinstated upstream returns.
const RAMP_STEP_US: u64 = 1_000_000;

/// Weights after reinstatement, one for each step.
const RAMP: [f64; 3] = [0.25, 0.5, 0.75];

/// Weight of an upstream that should be ejected but for the bound on ejections.
const WEIGHT_SPARED: f64 = 1.0 / 16.0;

/// First time of ejection after a failure; each further failure doubles it.
const FAILURE_US: u64 = 500_000;

/// Longest time of ejection after a failure.
const FAILURE_MAX_US: u64 = 30_000_000;

/// Error answers in a row that count as a failure; single ones may be the request's fault.
const ERRORS_MAX: u32 = 3;

/// An upstream and what this daemon knows about it.
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
    /// Whether it is leaving, whatever the configuration says.
    pub leaving: bool,
    /// Jobs that this daemon runs on it.
    pub outstanding: u32,
    /// Most jobs that this daemon may run on it.
    pub share: Option<u32>,
    /// Places in the groups.
    pub seats: Vec<Seat>,
    /// Index of its peers.
    pub cohort: u32,
    /// Attempts without a first token, oldest first.
    pub pending: Vec<Pending>,
    /// Time to first token over the predicted one.
    pub first_token: Ratio,
    /// Time between tokens over the predicted one.
    pub gap: Ratio,
    /// Whether it gets only probes.
    pub ejected: bool,
    /// Time of the next probe while it is ejected.
    pub probe_due_us: u64,
    /// Time at which it was last reinstated.
    pub reinstated_us: Option<u64>,
    /// End of the ejection that failures caused.
    pub failing_until_us: u64,
    /// Random part of a slot that orders equal upstreams differently in each daemon.
    pub jitter: f64,
    /// Slow-down at the last judgement.
    pub slowdown: f64,
    /// Work and cache, if it is a model engine.
    pub engine: EngineState,
    failures: u32,
    failed_us: u64,
    begun_before: u32,
    errors: u32,
    foreign: f64,
    foreign_us: u64,
    capacity: f64,
    capacity_us: u64,
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
            seats: Vec::new(),
            cohort: 0,
            pending: Vec::new(),
            first_token: Ratio::default(),
            gap: Ratio::default(),
            ejected: false,
            probe_due_us: 0,
            reinstated_us: None,
            failing_until_us: 0,
            jitter: 0.0,
            slowdown: 1.0,
            engine: EngineState::default(),
            failures: 0,
            failed_us: 0,
            begun_before: 0,
            errors: 0,
            foreign: 0.0,
            foreign_us: 0,
            capacity: f64::from(settings.slots),
            capacity_us: 0,
        }
    }

    /// Takes up new settings; what was observed at another address is forgotten.
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

    /// Returns whether it takes new work.
    pub fn is_live(&self) -> bool {
        self.configured && !self.leaving && self.settings.state == UpstreamLifecycle::Live
    }

    /// Returns whether this daemon may use it at all.
    pub fn is_usable(&self) -> bool {
        self.is_live() && self.share != Some(0)
    }

    /// Returns whether a slot is free.
    pub fn has_room(&self) -> bool {
        let share = self.share.unwrap_or(u32::MAX);
        self.outstanding < share.min(self.assumed_slots())
    }

    /// Returns whether it has room for what an upstream so much slower than its peers can take.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the quotient lies between 0 and the slots"
    )]
    pub fn has_slow_room(&self) -> bool {
        let limit = self.share.unwrap_or(u32::MAX).min(self.assumed_slots());
        let slow_limit = (f64::from(limit) / self.slowdown.max(1.0)) as u32;
        self.outstanding < slow_limit.max(1).min(limit)
    }

    /// Returns whether failures keep work away from it.
    pub const fn is_failing(&self, now_us: u64) -> bool {
        now_us < self.failing_until_us
    }

    /// Returns the share of normal work that it gets.
    pub fn weight(&self, now_us: u64) -> f64 {
        let weight = if self.ejected || !self.is_live() {
            0.0
        } else if self.is_failing(now_us) {
            WEIGHT_SPARED
        } else {
            self.ramp(now_us)
        };
        weight / self.penalty()
    }

    /// Ages the jitter, so that an idle upstream's turn comes.
    pub const fn age_jitter(&mut self) {
        self.jitter *= 0.5;
    }

    /// Returns the factor by which the slow-down lengthens the expected wait.
    fn penalty(&self) -> f64 {
        1.0 + 2.0 * (self.slowdown - SLOWDOWN_NOISE).max(0.0)
    }

    /// Returns the share of its capacity that counts after a reinstatement.
    fn ramp(&self, now_us: u64) -> f64 {
        self.reinstated_us.map_or(1.0, |since_us| {
            let step = now_us.saturating_sub(since_us) / RAMP_STEP_US;
            let step = usize::try_from(step).unwrap_or(usize::MAX);
            RAMP.get(step).copied().unwrap_or(1.0)
        })
    }

    /// Returns how loaded it is, by which its group orders it; infinite if it can't be chosen.
    pub fn key(&self, now_us: u64) -> f64 {
        if self.is_live() && !self.ejected && self.has_room() {
            self.pressure(now_us)
        } else {
            f64::INFINITY
        }
    }

    /// Returns the expected time to the first token in units of the one when it is half idle.
    pub fn pressure(&self, now_us: u64) -> f64 {
        // Other daemons have shares of their own, so their jobs count only where none is set.
        let (capacity, foreign) = match self.share {
            Some(share) => (self.capacity.min(f64::from(share)), 0.0),
            None => (self.capacity, self.foreign(now_us)),
        };
        let own = (f64::from(self.outstanding) + 0.5 * self.jitter) / capacity.max(1.0);
        let foreign = foreign / f64::from(self.settings.slots.max(1));
        let foreign = (foreign - FOREIGN_BAND).max(0.0) / (1.0 - FOREIGN_BAND);
        let load = (own + foreign) / self.ramp(now_us);
        let over = (load - LOAD_KNEE).max(0.0);
        let wait = 0.5 + 0.3 * load + 8.0 * over * over;
        let spared = if self.is_failing(now_us) {
            WEIGHT_SPARED
        } else {
            1.0
        };
        self.penalty() * wait / spared
    }

    /// Returns the estimated jobs of other daemons.
    #[expect(clippy::cast_precision_loss, reason = "intervals are far below 2^52")]
    pub fn foreign(&self, now_us: u64) -> f64 {
        if self.foreign <= 0.0 {
            return 0.0;
        }
        let age_us = now_us.saturating_sub(self.foreign_us) as f64;
        // Own observations go first: the more there are, the less the report counts.
        let trust = 1.0 / (1.0 + self.gap.weight(now_us));
        self.foreign * trust * (-age_us / REPORT_DECAY_US).exp()
    }

    /// Returns the ratio of time to first token with the overdue first tokens included.
    pub fn first_token_with_silence(&self, now_us: u64, cohort: &Cohort) -> Ratio {
        let mut ratio = self.first_token.clone();
        if cohort.has_first_token {
            for pending in &self.pending {
                let waited = pending.waited(now_us);
                if waited > SILENCE_RATIO {
                    ratio.observe(now_us, waited, FIRST_TOKEN_WEIGHT);
                }
            }
        }
        ratio
    }

    /// Returns the times seen on it over the median of its peers, and the same from signals with
    /// enough evidence for an ejection only.
    pub fn slowdown(&self, now_us: u64, cohort: &Cohort) -> (f64, f64) {
        let first_token = self.first_token_with_silence(now_us, cohort);
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

    /// Takes out the attempt that was sent closest to a time.
    pub fn take_pending(&mut self, sent_us: u64) -> Option<Pending> {
        let index = (0..self.pending.len())
            .min_by_key(|&index| self.pending[index].sent_us.abs_diff(sent_us))?;
        Some(self.pending.remove(index))
    }

    /// Notes a load report.
    pub fn report(&mut self, now_us: u64, load: &LoadReport) {
        let others = |all: u32| f64::from(all.saturating_sub(self.outstanding));
        let mut seen = others(load.running.saturating_add(load.waiting));
        if load.cache_used_permille >= CACHE_FULL_PERMILLE {
            seen = seen.max(others(self.settings.slots));
        }
        self.foreign += REPORT_GAIN * (seen - self.foreign);
        self.foreign_us = now_us;
    }

    /// Notes the first token of an attempt that was sent at a time.
    pub fn answered(&mut self, now_us: u64, sent_us: u64) {
        if sent_us >= self.failed_us {
            self.succeed(now_us);
        }
    }

    /// Notes a complete answer; those begun before the last failure say nothing about the present.
    pub fn completed(&mut self, now_us: u64) {
        if self.begun_before == 0 {
            self.succeed(now_us);
        }
    }

    /// Frees a slot.
    pub const fn free_slot(&mut self) {
        self.outstanding = self.outstanding.saturating_sub(1);
        self.begun_before = self.begun_before.saturating_sub(1);
    }

    /// Notes a failed connection or a lost answer.
    pub fn fail(&mut self, now_us: u64) {
        let time_us = FAILURE_US.saturating_mul(1 << self.failures.min(10));
        self.failures += 1;
        self.failed_us = now_us;
        self.begun_before = self.outstanding;
        self.failing_until_us = now_us.saturating_add(time_us.min(FAILURE_MAX_US));
        self.reinstated_us = Some(self.failing_until_us);
    }

    /// Notes an error answer.
    pub fn error(&mut self, now_us: u64) {
        self.errors += 1;
        if self.errors >= ERRORS_MAX {
            self.errors = 0;
            self.fail(now_us);
        }
    }

    /// Notes that the upstream rejected one job while `held` others ran.
    pub fn reject(&mut self, now_us: u64, held: u32) {
        self.capacity = self.capacity.min(f64::from(held)).max(1.0);
        self.capacity_us = now_us.saturating_add(REJECT_HOLD_US);
    }

    /// Returns whether it is assumed to take less than it has slots, after a rejection.
    pub fn lacks_capacity(&self) -> bool {
        self.capacity < f64::from(self.settings.slots)
    }

    /// Lets the assumed capacity grow back.
    #[expect(clippy::cast_precision_loss, reason = "intervals are far below 2^52")]
    pub fn regain(&mut self, now_us: u64) {
        let slots = f64::from(self.settings.slots);
        if self.capacity < slots && now_us > self.capacity_us {
            let elapsed_s = (now_us - self.capacity_us) as f64 / 1e6;
            self.capacity_us = now_us;
            self.capacity = (self.capacity + slots * REGAIN_PER_S * elapsed_s).min(slots);
        }
    }

    fn succeed(&mut self, now_us: u64) {
        self.failures = 0;
        self.errors = 0;
        self.failing_until_us = self.failing_until_us.min(now_us);
        self.reinstated_us = self.reinstated_us.map(|since_us| since_us.min(now_us));
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the capacity lies between 1 and the slots"
    )]
    const fn assumed_slots(&self) -> u32 {
        self.capacity as u32
    }
}
