//! Evidence about requests that crash upstreams, and refusal of such jobs.

use code::Code;
use quarantine::{Admission, Quarantine};

use crate::{Action, Dispatcher, JobId, Outcome, Reason, running::Running};

/// Time from the first token after which an answer shows that its prompt crashes no upstream: an
/// upstream that crashes as it begins to answer may have sent some bytes.
const PROOF_US: u64 = 100_000;

impl Dispatcher {
    /// Returns the quarantine of prompt parts.
    #[must_use]
    pub const fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// Returns the quarantine of prompt parts. [`Self::refuse_quarantined`] has to follow a change.
    pub const fn quarantine_mut(&mut self) -> &mut Quarantine {
        &mut self.quarantine
    }

    /// Refuses the queued jobs whose prompts are quarantined.
    pub fn refuse_quarantined(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        let queued = self.jobs.values().filter(|entry| entry.running.is_none());
        let quarantined: Vec<(JobId, u64)> = queued
            .filter_map(|entry| {
                let part = self.quarantine.quarantined_part(&entry.job.prompt_parts)?;
                Some((entry.id(), part))
            })
            .collect();
        for (id, part) in quarantined {
            let reason = Reason::Quarantined { part };
            let retry_after_ms = self.quarantine.retry_after_ms(now_us, part);
            self.refuse(id, Code::PromptQuarantined, retry_after_ms, reason, actions);
        }
    }

    /// Returns whether a job may not be sent because of its prompt or as a whole.
    pub(crate) fn held_request(&self, id: JobId) -> bool {
        let parts = self.jobs.get(&id).map(|entry| &entry.job.prompt_parts);
        parts.is_some_and(|parts| self.quarantine.quarantined_part(parts).is_some())
    }

    /// Refuses a new job whose prompt is quarantined; returns whether it did.
    pub(crate) fn refuse_deadly(
        &mut self,
        now_us: u64,
        job: &crate::Job,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Admission::Refused {
            part,
            retry_after_ms,
        } = self.quarantine.admit(now_us, &job.prompt_parts)
        else {
            return false;
        };
        actions.push(Action::Refuse {
            id: job.id,
            code: Code::PromptQuarantined,
            retry_after_ms,
            reason: Reason::Quarantined { part },
        });
        true
    }

    /// Records that the answer to a running job goes on.
    pub(crate) fn record_progress(&mut self, now_us: u64, id: JobId) {
        let Some(entry) = self.jobs.get_mut(&id) else {
            return;
        };
        let Some(running) = entry.running.as_mut().filter(|running| !running.proven) else {
            return;
        };
        let begun_us = *running.begun_us.get_or_insert(now_us);
        if now_us.saturating_sub(begun_us) >= PROOF_US {
            running.proven = true;
            self.quarantine
                .record_answer(now_us, &entry.job.prompt_parts);
        }
    }

    /// Records what the end of an attempt says about its prompt.
    pub(crate) fn record_evidence(
        &mut self,
        now_us: u64,
        id: JobId,
        running: &Running,
        outcome: Outcome,
    ) {
        let Some(entry) = self.jobs.get(&id) else {
            return;
        };
        let parts = &entry.job.prompt_parts;
        let is_lost = matches!(
            outcome,
            Outcome::LostBeforeAnswer | Outcome::LostMidStream { .. }
        );
        let is_complete = outcome == Outcome::Complete && running.begun_us.is_some();
        let begun_us = running.begun_us;
        let is_proof = begun_us.is_some_and(|begun_us| now_us.saturating_sub(begun_us) >= PROOF_US);
        if is_complete || is_proof {
            self.quarantine.record_answer(now_us, parts);
        } else if is_lost {
            let ran_us = now_us.saturating_sub(running.started_us);
            self.quarantine
                .record_loss(now_us, ran_us, &running.upstream, parts);
        }
    }
}
