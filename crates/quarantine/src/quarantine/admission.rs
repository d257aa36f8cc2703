//! Whether a request may be sent to an upstream.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Quarantine, since_origin};
use crate::{PromptParts, VerdictState, trial_home, verdicts::Known};

/// Time from a quarantine to its first trial; each failed trial doubles it.
const TRIAL_AFTER_US: u64 = 60_000_000;

/// Longest time between two trials.
const TRIAL_AFTER_MAX_US: u64 = 1_800_000_000;

/// Bounds of the time after which a refused caller may come back.
const RETRY_AFTER_RANGE_MS: (u64, u64) = (5_000, 60_000);

/// Time after which the caller of a suspected request may come back: by then a daemon that has seen
/// an answer to it has cleared it.
const SUSPECTED_RETRY_AFTER_MS: u64 = 1_500;

/// Whether a request may be sent to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It may.
    Admitted,
    /// It may, as the trial of a quarantined part.
    Trial {
        /// Quarantined part.
        part: u64,
    },
    /// It may not.
    Refused {
        /// Quarantined part.
        part: u64,
        /// Time until the part may have been released.
        retry_after_ms: u64,
    },
}

/// Trial of a quarantined part at this daemon.
#[derive(Debug, Clone, Copy)]
pub(super) struct Trial {
    pub(super) part: u64,
    pub(super) started_us: u64,
}

impl Quarantine {
    /// Decides whether a request may be sent to an upstream.
    pub fn admit(&mut self, now_us: u64, parts: &PromptParts) -> Admission {
        let now_us = since_origin(now_us);
        let mut admission = Admission::Admitted;
        let suspects = parts.shared().iter().copied().chain(parts.request());
        for part in suspects {
            match self.admit_part(now_us, part) {
                Admission::Admitted => {}
                trial @ Admission::Trial { .. } => admission = trial,
                refused @ Admission::Refused { .. } => return refused,
            }
        }
        if let Admission::Trial { part } = admission {
            self.trials.retain(|trial| trial.part != part);
            self.trials.push(Trial {
                part,
                started_us: now_us,
            });
        }
        admission
    }

    /// Returns the quarantined part of a prompt, if it has one, or the fingerprint of the request if
    /// that is held back.
    #[must_use]
    pub fn quarantined_part(&self, parts: &PromptParts) -> Option<u64> {
        let mut shared = parts.shared().iter().copied();
        let quarantined = shared.find(|&part| self.state(part) == Some(VerdictState::Quarantined));
        quarantined.or_else(|| {
            let request = parts.request();
            request.filter(|&request| self.state(request).is_some_and(VerdictState::is_held))
        })
    }

    /// Returns when the caller of a request with a quarantined part may come back.
    #[must_use]
    pub fn retry_after_ms(&self, now_us: u64, part: u64) -> u64 {
        let now_us = since_origin(now_us);
        let known = self.verdicts.get(part);
        if known.is_some_and(|known| known.state() == VerdictState::Suspected) {
            return SUSPECTED_RETRY_AFTER_MS;
        }
        let due_us = known.map_or(now_us, |known| self.trial_due_us(known));
        retry_after_ms(now_us, due_us)
    }

    fn admit_part(&self, now_us: u64, part: u64) -> Admission {
        let Some(known) = self.verdicts.get(part) else {
            return Admission::Admitted;
        };
        match known.state() {
            VerdictState::Quarantined => {}
            // Each send of it may end an upstream; a daemon that has seen an answer clears it soon.
            VerdictState::Suspected if known.is_request() => {
                return Admission::Refused {
                    part,
                    retry_after_ms: SUSPECTED_RETRY_AFTER_MS,
                };
            }
            _ => return Admission::Admitted,
        }
        let due_us = self.trial_due_us(known);
        if now_us >= due_us + self.trial_delay_us(known) {
            return Admission::Trial { part };
        }
        Admission::Refused {
            part,
            retry_after_ms: retry_after_ms(now_us, due_us),
        }
    }

    fn trial_due_us(&self, known: &Known) -> u64 {
        let tried = self.trials.iter().find(|trial| trial.part == known.part());
        let since_us = tried.map_or(known.changed_us, |trial| trial.started_us);
        since_us.saturating_add(trial_interval_us(known.failed_trials()))
    }

    /// Returns how long after a trial is due this daemon makes it. A repeated request may come to this
    /// daemon only, so others than the trial's home make it too, spread over the time of one trial.
    fn trial_delay_us(&self, known: &Known) -> u64 {
        if self.is_trial_home(known.part()) {
            return 0;
        }
        if !known.is_request() {
            return u64::MAX / 2;
        }
        let share = xxh3_64_with_seed(self.name.as_bytes(), known.part()) % TRIAL_AFTER_US;
        TRIAL_AFTER_US + share
    }

    fn is_trial_home(&self, part: u64) -> bool {
        let live = self.live.iter().map(AsRef::as_ref);
        trial_home(live.chain([self.name.as_ref()]), part) == Some(self.name.as_ref())
    }
}

/// Returns when a refused caller may come back, if the next trial is due at `due_us`.
fn retry_after_ms(now_us: u64, due_us: u64) -> u64 {
    let left_ms = due_us.saturating_sub(now_us).div_ceil(1_000);
    let (min_ms, max_ms) = RETRY_AFTER_RANGE_MS;
    left_ms.clamp(min_ms, max_ms)
}

/// Returns the time between two trials of a part after this many failed ones.
fn trial_interval_us(failed_trials: u32) -> u64 {
    let interval_us = TRIAL_AFTER_US.saturating_mul(1 << failed_trials.min(10));
    interval_us.min(TRIAL_AFTER_MAX_US)
}
