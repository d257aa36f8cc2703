//! Planned stop of the daemon: what waits is refused while callers can still go elsewhere.

use code::{Code, Run};

use crate::{Action, Dispatcher, JobId, Reason, entry::Entry};

/// Retry time of what a stop refuses; short, because the caller's next connection reaches another
/// host.
const RETRY_AFTER_MS: u64 = 20;

/// Planned stop that has begun.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Stop {
    /// Time at which the daemon ends.
    ends_us: u64,
    /// Expected time of answers whose class has none yet: half of the stop.
    unknown_answer_us: u64,
}

impl Dispatcher {
    /// Announces that the daemon ends at `ends_us`, and refuses the waiting jobs whose answers
    /// aren't expected to end by then.
    ///
    /// From now on this holds for all that has to wait: new jobs, retries, and jobs that wait for too
    /// long. New jobs that find a slot still start. A call with the current time refuses all that
    /// wait.
    pub fn stop_by(&mut self, now_us: u64, ends_us: u64, actions: &mut Vec<Action>) {
        self.stop = Some(Stop {
            ends_us,
            unknown_answer_us: ends_us.saturating_sub(now_us) / 2,
        });
        self.refuse_queued_at_stop(now_us, actions);
    }

    /// Returns the code for the caller of a job that gets no answer because the daemon ends now.
    #[must_use]
    pub fn code_at_stop(&self, id: JobId) -> Code {
        let Some(entry) = self.jobs.get(&id) else {
            // A job that has ended was answered or refused.
            return Code::CutByStop;
        };
        if entry.running.is_some() && entry.run == Run::No {
            return Code::CutByStop;
        }
        entry.consistent_code(Code::Draining)
    }

    /// Refuses the waiting jobs whose answers aren't expected to end before the daemon does.
    pub(crate) fn refuse_queued_at_stop(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        if self.stop.is_none() {
            return;
        }
        let queued = self.jobs.values().filter(|entry| entry.running.is_none());
        let queued: Vec<JobId> = queued.map(Entry::id).collect();
        for id in queued {
            self.refuse_at_stop(now_us, id, actions);
        }
    }

    /// Refuses a waiting job if its answer isn't expected to end before the daemon does; returns
    /// whether it did.
    pub(crate) fn refuse_at_stop(
        &mut self,
        now_us: u64,
        id: JobId,
        actions: &mut Vec<Action>,
    ) -> bool {
        let (Some(stop), Some(entry)) = (self.stop, self.jobs.get(&id)) else {
            return false;
        };
        // The caller of an answer that has begun can't take it over elsewhere.
        let answer_us = if entry.tokens > 0 {
            0
        } else {
            let longest_us = self.answer_times.longest_us(&entry.job.class);
            longest_us.unwrap_or(stop.unknown_answer_us)
        };
        if now_us.saturating_add(answer_us) < stop.ends_us {
            return false;
        }
        let reason = Reason::Stopping { answer_us };
        self.refuse(id, Code::Draining, RETRY_AFTER_MS, reason, actions);
        true
    }
}
