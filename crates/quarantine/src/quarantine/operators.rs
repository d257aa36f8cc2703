//! What operators see of the parts, and their release.

use super::{Quarantine, since_origin};
use crate::VerdictState;

/// Largest number of crashes that an operator is shown for a part.
pub(super) const EVIDENCE_MAX: usize = 16;

/// Crash that speaks against a part, for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashEvidence {
    /// Time since the crash, in milliseconds.
    pub age_ms: u64,
    /// Hash of the upstream's name.
    pub upstream: u64,
    /// Last parts of the prompts that were lost, which tell the requests apart.
    pub requests: Vec<u64>,
}

/// Suspected or quarantined part, for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuarantinedPart {
    /// Identifier of the part, or fingerprint of the whole request.
    pub part: u64,
    /// Whether it is a whole request.
    pub is_request: bool,
    /// State.
    pub state: VerdictState,
    /// Time since its state last changed, in milliseconds.
    pub age_ms: u32,
    /// Number of crashes that it explained when it was suspected.
    pub crashes: u32,
    /// Number of failed trials.
    pub failed_trials: u32,
    /// The latest of these crashes, as far as this daemon knows them: those that gather the evidence
    /// know all, others only their own losses.
    pub evidence: Vec<CrashEvidence>,
}

impl Quarantine {
    /// Returns the suspected and quarantined parts.
    #[must_use]
    pub fn parts(&self, now_us: u64) -> Vec<QuarantinedPart> {
        let now_us = since_origin(now_us);
        let known = self.verdicts.iter();
        let held = known.filter(|known| known.state().is_held());
        held.map(|known| QuarantinedPart {
            part: known.part(),
            is_request: known.is_request(),
            state: known.state(),
            age_ms: known.verdict(now_us).age_ms,
            crashes: known.crashes(),
            failed_trials: known.failed_trials(),
            evidence: if known.is_request() {
                self.request_evidence(now_us, known.part())
            } else {
                self.evidence(now_us, known.part())
            },
        })
        .collect()
    }

    /// Releases a part or a whole request, as an operator asks. No other part is blamed for its crashes
    /// until then, and requests with the part that are held back are released with it.
    ///
    /// Returns whether it was suspected or quarantined.
    pub fn release(&mut self, now_us: u64, part: u64) -> bool {
        let now_us = since_origin(now_us);
        let state = self.state(part);
        let held = state.is_some_and(VerdictState::is_held);
        if held {
            let requests = self.log.requests_with(part);
            self.set_free(now_us, part, VerdictState::Released);
            for request in requests {
                if self.state(request).is_some_and(VerdictState::is_held) {
                    self.set_free(now_us, request, VerdictState::Released);
                }
            }
        }
        held
    }

    fn evidence(&self, now_us: u64, part: u64) -> Vec<CrashEvidence> {
        let cleared_us = self.clearances.last_us(part);
        let released_us = |part| self.releases.last_us(part);
        let crashes = self.log.crashes_with(part, cleared_us, released_us);
        let evidence = crashes.take(EVIDENCE_MAX).map(|crash| CrashEvidence {
            age_ms: now_us.saturating_sub(crash.at_us) / 1_000,
            upstream: crash.upstream,
            requests: crash.requests,
        });
        evidence.collect()
    }
}
