//! State of one daemon.

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    LossReport, PromptParts, Verdict, VerdictState,
    answered_parts::AnsweredParts,
    crash_log::CrashLog,
    part_times::PartTimes,
    request_log::RequestLog,
    verdicts::{Known, Verdicts},
};

mod admission;
mod exchange;
mod operators;
mod requests;
mod snapshots;

use self::admission::Trial;
pub use self::{
    admission::Admission,
    operators::{CrashEvidence, QuarantinedPart},
};

/// Age that times before the start of the daemon may have; its own clock starts at 0.
const BEFORE_START_US: u64 = 3_600_000_000;

/// Time for which a part is suspected before it is quarantined. A rumor reaches 300 daemons, and
/// the answer of one that clears the part comes back, in about this time.
const CONFIRM_US: u64 = 1_000_000;

/// Largest number of losses that wait to be reported; further ones are not reported.
const REPORTS_MAX: usize = 64;

/// Time after the start, or after a suspension, for which a daemon without verdicts asks others.
const CATCH_UP_US: u64 = 10_000_000;

/// Quarantine of parts of prompts and of whole requests, as one daemon knows it.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    name: Arc<str>,
    /// The other live daemons.
    live: Vec<Arc<str>>,
    log: CrashLog,
    /// Whether the evidence has changed since it was last judged.
    log_changed: bool,
    answered: AnsweredParts,
    request_log: RequestLog,
    /// Fingerprints of requests to which an answer began.
    answered_requests: AnsweredParts,
    verdicts: Verdicts,
    /// Earlier crashes don't count against these parts.
    clearances: PartTimes,
    /// Earlier crashes with these parts count against no part.
    releases: PartTimes,
    trials: Vec<Trial>,
    /// Losses that are still to be reported, with their time.
    reports: Vec<(u64, LossReport)>,
    /// Verdicts that have changed since they were last taken.
    changes: Vec<Verdict>,
    /// Number of changes of the evidence and the verdicts.
    revision: u64,
    next_compare_us: u64,
    catch_up_until_us: u64,
}

impl Quarantine {
    /// Creates the quarantine of a daemon.
    #[must_use]
    pub fn new(name: &str) -> Self {
        Self {
            name: name.into(),
            ..Self::default()
        }
    }

    /// Sets the other live daemons.
    pub fn set_live(&mut self, live: Vec<Arc<str>>) {
        self.live = live;
    }

    /// Makes the daemon ask others for their verdicts: at its start, or after it was suspended.
    pub const fn catch_up(&mut self, now_us: u64) {
        let now_us = since_origin(now_us);
        self.catch_up_until_us = now_us + CATCH_UP_US;
        self.next_compare_us = now_us;
    }

    /// Records that an answer to a request began: neither it nor one of its parts crashes upstreams.
    pub fn record_answer(&mut self, now_us: u64, parts: &PromptParts) {
        let now_us = since_origin(now_us);
        for &part in parts.shared() {
            self.answered.insert(now_us, part);
            let state = self.state(part);
            if state.is_some_and(VerdictState::is_held) {
                self.clear(now_us, part);
            }
        }
        if let Some(request) = parts.request() {
            self.record_answered_request(now_us, request);
        }
    }

    /// Records that a request was lost with its upstream before its answer began, `ran_us` after it
    /// was sent.
    pub fn record_loss(&mut self, now_us: u64, ran_us: u64, upstream: &str, parts: &PromptParts) {
        if parts.shared().is_empty() && parts.request().is_none() {
            return;
        }
        let now_us = since_origin(now_us);
        let sends = self.sends();
        let trials = std::mem::take(&mut self.trials);
        let is_suspect = |part| parts.shared().contains(&part) || parts.request() == Some(part);
        let (failed, running) = trials.into_iter().partition(|trial| is_suspect(trial.part));
        self.trials = running;
        for Trial { part, .. } in failed {
            self.verdicts.count_failed_trial(now_us, part, sends);
            self.note_change(now_us, part);
        }
        let report = LossReport {
            upstream: xxh3_64(upstream.as_bytes()),
            age_ms: 0,
            parts: self.reported_parts(parts),
            own: parts.own(),
            request: self.reported_request(now_us, parts),
            ran_ms: u32::try_from(ran_us / 1_000).unwrap_or(u32::MAX),
        };
        self.add_loss(now_us, now_us, ran_us, &report);
        if self.reports.len() < REPORTS_MAX {
            self.reports.push((now_us, report));
        }
    }

    /// Judges the evidence; call it about every 100 ms.
    pub fn tick(&mut self, now_us: u64) {
        let now_us = since_origin(now_us);
        self.log.expire(now_us);
        self.request_log.expire(now_us);
        self.verdicts.expire(now_us);
        self.confirm_requests(now_us);
        let pending = self
            .verdicts
            .iter()
            .any(|known| known.state() == VerdictState::Suspected && !known.is_request());
        if std::mem::take(&mut self.log_changed) || pending {
            self.judge(now_us);
        }
    }

    /// Returns whether nothing is due before another event, but for comparisons.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let mut known = self.verdicts.iter();
        !self.log_changed
            && self.reports.is_empty()
            && self.changes.is_empty()
            && known.all(|known| known.state() != VerdictState::Suspected && known.is_sent())
    }

    /// Returns the verdicts that have changed since the last call.
    pub fn take_changes(&mut self) -> Vec<Verdict> {
        std::mem::take(&mut self.changes)
    }

    fn state(&self, part: u64) -> Option<VerdictState> {
        Some(self.verdicts.get(part)?.state())
    }

    /// Returns the parts that may be responsible for a loss. Of a long prompt these are the last ones
    /// to which no answer is known; earlier parts are shared by more requests and answered sooner.
    fn reported_parts(&self, parts: &PromptParts) -> Vec<u64> {
        let shared = parts.shared();
        if shared.len() <= LossReport::PARTS_MAX {
            return shared.to_vec();
        }
        let unanswered = shared.iter().copied();
        let mut unanswered: Vec<u64> = unanswered
            .filter(|&part| self.answered.last_us(part).is_none())
            .collect();
        let excess = unanswered.len().saturating_sub(LossReport::PARTS_MAX);
        unanswered.drain(..excess);
        unanswered
    }

    fn add_loss(&mut self, now_us: u64, at_us: u64, ran_us: u64, report: &LossReport) {
        self.add_request_loss(now_us, at_us, ran_us, report);
        // Of a request without a prompt only the whole can be held responsible.
        if report.parts.is_empty() && report.own == 0 {
            return;
        }
        if self.log.record(at_us, report) {
            self.log_changed = true;
            self.revision += 1;
        }
    }

    /// Suspects, quarantines and clears parts by the evidence.
    fn judge(&mut self, now_us: u64) {
        let culprits = self.log.culprits(
            |part| self.clearances.last_us(part),
            |part| self.releases.last_us(part),
            |part| self.answered.last_us(part).is_some(),
            |part| self.state(part) == Some(VerdictState::Quarantined),
            |request| self.state(request).is_some_and(VerdictState::is_held),
        );
        let mut all_quarantined = true;
        for culprit in &culprits {
            let known = self.verdicts.get(culprit.part);
            let (state, changed_us) = known.map_or((VerdictState::Cleared, 0), |known| {
                (known.state(), known.changed_us)
            });
            let next = match state {
                VerdictState::Quarantined => continue,
                VerdictState::Dismissed | VerdictState::Cleared | VerdictState::Released
                    if self.is_answered_since_clearance(culprit.part) =>
                {
                    // The rest is judged again without its crashes.
                    self.clear(now_us, culprit.part);
                    self.log_changed = true;
                    all_quarantined = false;
                    continue;
                }
                VerdictState::Dismissed | VerdictState::Cleared | VerdictState::Released => {
                    VerdictState::Suspected
                }
                VerdictState::Suspected if now_us.saturating_sub(changed_us) < CONFIRM_US => {
                    all_quarantined = false;
                    continue;
                }
                VerdictState::Suspected => VerdictState::Quarantined,
            };
            all_quarantined &= next == VerdictState::Quarantined;
            let sends = self.sends();
            self.verdicts
                .set(now_us, culprit.part, next, culprit.crashes, sends);
            self.note_change(now_us, culprit.part);
        }
        if all_quarantined && !culprits.is_empty() {
            let culprits: Vec<u64> = culprits.iter().map(|culprit| culprit.part).collect();
            self.dismiss_explained(now_us, &culprits);
        }
    }

    /// Dismisses suspected parts whose evidence the culprits explain.
    ///
    /// Nobody has seen an answer to them, so their evidence still counts: the culprits may be the
    /// innocent ones. For the same reason only a trial frees a quarantined part.
    fn dismiss_explained(&mut self, now_us: u64, culprits: &[u64]) {
        let suspected = self.verdicts.iter().filter(|known| {
            known.state() == VerdictState::Suspected
                && !known.is_request()
                && now_us.saturating_sub(known.changed_us) >= CONFIRM_US
        });
        let explained: Vec<u64> = suspected
            .map(Known::part)
            .filter(|&part| {
                let mut culprits = culprits.iter();
                culprits.all(|&culprit| culprit != part && !self.log.is_nested(part, culprit))
            })
            .filter(|&part| {
                let cleared_us = self.clearances.last_us(part);
                let released_us = |part| self.releases.last_us(part);
                self.log.is_evident(part, cleared_us, released_us)
            })
            .collect();
        for part in explained {
            self.set_free(now_us, part, VerdictState::Dismissed);
        }
    }

    fn clear(&mut self, now_us: u64, part: u64) {
        self.set_free(now_us, part, VerdictState::Cleared);
    }

    /// Frees a suspected or quarantined part; `state` says why.
    fn set_free(&mut self, now_us: u64, part: u64, state: VerdictState) {
        self.trials.retain(|trial| trial.part != part);
        let sends = self.sends();
        self.verdicts.set(now_us, part, state, 0, sends);
        self.note_freed(now_us, part, state);
        self.note_change(now_us, part);
    }

    /// Excuses the crashes before a clearance or release.
    fn note_freed(&mut self, at_us: u64, part: u64, state: VerdictState) {
        if matches!(state, VerdictState::Cleared | VerdictState::Released) {
            self.clearances.note(at_us, part);
            self.request_log.forget(part);
        }
        if state == VerdictState::Released {
            self.releases.note(at_us, part);
        }
    }

    fn note_change(&mut self, now_us: u64, part: u64) {
        self.revision += 1;
        if let Some(known) = self.verdicts.get(part) {
            self.changes.push(known.verdict(now_us));
        }
    }

    fn is_answered_since_clearance(&self, part: u64) -> bool {
        let answered_us = self.answered.last_us(part);
        answered_us.is_some() && answered_us > self.clearances.last_us(part)
    }

    /// Returns how many times a new verdict is passed on: enough for it to reach all daemons.
    const fn sends(&self) -> u32 {
        (self.live.len() + 1).ilog2() + 5
    }
}

/// Returns a time of the daemon's clock as the time since [`BEFORE_START_US`] before its start.
const fn since_origin(now_us: u64) -> u64 {
    now_us + BEFORE_START_US
}
