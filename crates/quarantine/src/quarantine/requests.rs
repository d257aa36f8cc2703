//! Whole requests that crash upstreams, recognized by their fingerprints.

use super::{CONFIRM_US, CrashEvidence, Quarantine, operators::EVIDENCE_MAX};
use crate::{
    LossReport, PromptParts, VerdictState,
    request_log::{EVIDENCE_MIN, RequestLoss},
    verdicts::Known,
};

/// Age up to which an answer to a request shows that a loss of it is no crash by it.
const ANSWER_FRESH_US: u64 = 10_000_000;

/// Time for which a daemon without evidence of its own waits for others to confirm a suspicion.
const CONFIRM_WITHOUT_EVIDENCE_US: u64 = 5 * CONFIRM_US;

impl Quarantine {
    /// Records that an answer to a whole request began.
    pub(super) fn record_answered_request(&mut self, now_us: u64, request: u64) {
        self.answered_requests.insert(now_us, request);
        let losses = self.request_log.losses(request).len();
        self.request_log.forget(request);
        // Others may hold the same losses against it.
        if losses + 1 >= EVIDENCE_MIN || self.state(request).is_some_and(VerdictState::is_held) {
            self.clear(now_us, request);
        }
    }

    /// Returns the fingerprint to report with a loss; 0 if an answer to the request began lately.
    pub(super) fn reported_request(&self, now_us: u64, parts: &PromptParts) -> u64 {
        let is_fresh = |request| {
            let answered_us = self.answered_requests.last_us(request);
            answered_us.is_some_and(|at_us| now_us.saturating_sub(at_us) < ANSWER_FRESH_US)
        };
        parts
            .request()
            .filter(|&request| !is_fresh(request))
            .unwrap_or(0)
    }

    /// Adds a loss to the evidence against the whole request, and suspects it if that is enough.
    pub(super) fn add_request_loss(
        &mut self,
        now_us: u64,
        at_us: u64,
        ran_us: u64,
        report: &LossReport,
    ) {
        let request = report.request;
        let cleared_us = self.clearances.last_us(request);
        if request == 0 || cleared_us.is_some_and(|cleared_us| at_us <= cleared_us) {
            return;
        }
        let loss = RequestLoss {
            upstream: report.upstream,
            sent_us: at_us.saturating_sub(ran_us),
            lost_us: at_us,
        };
        if !self.request_log.record(request, loss) {
            return;
        }
        self.revision += 1;
        let evidence = self.request_log.evidence(request);
        let is_held = self.state(request).is_some_and(VerdictState::is_held);
        if evidence < EVIDENCE_MIN || is_held {
            return;
        }
        let crashes = u32::try_from(evidence).unwrap_or(u32::MAX);
        let sends = self.sends();
        self.verdicts
            .suspect_request(now_us, request, crashes, sends);
        self.note_change(now_us, request);
        if self.is_request_answered_since_clearance(request) {
            self.clear(now_us, request);
        }
    }

    /// Quarantines the suspected requests that nobody has cleared.
    pub(super) fn confirm_requests(&mut self, now_us: u64) {
        let is_due = |known: &Known| {
            let has_evidence = self.request_log.evidence(known.part()) >= EVIDENCE_MIN;
            let wait_us = if has_evidence {
                CONFIRM_US
            } else {
                CONFIRM_WITHOUT_EVIDENCE_US
            };
            known.is_request()
                && known.state() == VerdictState::Suspected
                && now_us.saturating_sub(known.changed_us) >= wait_us
        };
        let due = self.verdicts.iter().filter(|known| is_due(known));
        let due: Vec<(u64, u32)> = due.map(|known| (known.part(), known.crashes())).collect();
        for (request, crashes) in due {
            let sends = self.sends();
            let state = VerdictState::Quarantined;
            self.verdicts.set(now_us, request, state, crashes, sends);
            self.note_change(now_us, request);
        }
    }

    /// Returns whether an answer to a whole request began after it was last cleared.
    pub(super) fn is_request_answered_since_clearance(&self, request: u64) -> bool {
        let answered_us = self.answered_requests.last_us(request);
        answered_us.is_some() && answered_us > self.clearances.last_us(request)
    }

    /// Returns the crashes that speak against a whole request, the latest first.
    pub(super) fn request_evidence(&self, now_us: u64, request: u64) -> Vec<CrashEvidence> {
        let losses = self.request_log.losses(request).iter().rev();
        let evidence = losses.take(EVIDENCE_MAX).map(|loss| CrashEvidence {
            age_ms: now_us.saturating_sub(loss.lost_us) / 1_000,
            upstream: loss.upstream,
            requests: vec![request],
        });
        evidence.collect()
    }
}
