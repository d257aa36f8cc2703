//! Retries that wait for the retry budget.
//!
//! An engine that is lost takes all of its requests with it at the same moment. They are worth a
//! retry, but more at once than the budget allows; each waits for its turn, higher tiers
//! and earlier arrivals first, as long as its caller does.

use crate::{Action, Dispatcher, JobId, Outcome, Reason, retry::code_of};

/// Job that was lost with its engine and waits for the retry budget.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HeldRetry {
    id: JobId,
    outcome: Outcome,
}

impl Dispatcher {
    /// Returns whether any retry waits for the budget.
    pub(crate) const fn has_held_retries(&self) -> bool {
        !self.held_retries.is_empty()
    }

    /// Returns the number of retries of a tier that wait for the budget.
    pub(crate) fn held_retries(&self, tier: usize) -> usize {
        let entries = self.held_retries.iter();
        let entries = entries.filter_map(|held| self.jobs.get(&held.id));
        entries.filter(|entry| entry.tier() == tier).count()
    }

    /// Returns whether a job waits for the retry budget.
    #[cfg(test)]
    pub(crate) fn is_held_retry(&self, id: JobId) -> bool {
        self.held_retries.iter().any(|held| held.id == id)
    }

    /// Keeps a job that was lost with its engine until the retry budget allows another attempt.
    pub(crate) fn hold_retry(&mut self, now_us: u64, id: JobId, outcome: Outcome) {
        self.prepare_retry(now_us, id);
        self.held_retries.push(HeldRetry { id, outcome });
    }

    /// Queues the held jobs for which the retry budget has room, and refuses those whose deadline
    /// has passed.
    pub(crate) fn release_held_retries(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        if self.held_retries.is_empty() {
            return;
        }
        let mut held_retries = std::mem::take(&mut self.held_retries);
        held_retries.sort_by_key(|held| {
            let item = self.jobs.get(&held.id).map(|entry| &entry.item);
            item.map(|item| (item.tier, item.arrival))
        });
        for held in held_retries {
            let Some(entry) = self.jobs.get(&held.id) else {
                continue;
            };
            let (lane, deadline_us) = (entry.item.lane, entry.item.deadline_us);
            if deadline_us <= now_us {
                let retry_after_ms = self.retry_after_ms(now_us, &entry.item);
                let reason = Reason::RetryBudgetExhausted;
                self.refuse(
                    held.id,
                    code_of(held.outcome),
                    retry_after_ms,
                    reason,
                    actions,
                );
            } else if self.topology.lanes[lane]
                .budget
                .try_retry_after_loss(now_us)
            {
                self.queue_retry(now_us, held.id, actions);
            } else {
                self.held_retries.push(held);
            }
        }
    }
}
