//! Verdicts that a daemon knows, and which of them it still has to pass on.

use xxhash_rust::xxh3::xxh3_64;

use crate::{Verdict, VerdictState};

/// Largest number of verdicts; beyond it the oldest one is forgotten, those of free parts first.
const VERDICTS_MAX: usize = 512;

/// Time after its last change at which a verdict is forgotten.
const VERDICT_AGE_MAX_US: u64 = 3_600_000_000;

/// Verdict with this daemon's time of its last change.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Known {
    verdict: Verdict,
    pub(crate) changed_us: u64,
    /// Number of times that it is still passed on.
    sends_left: u32,
}

impl Known {
    pub(crate) fn verdict(&self, now_us: u64) -> Verdict {
        let age_ms = now_us.saturating_sub(self.changed_us) / 1_000;
        Verdict {
            age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
            ..self.verdict
        }
    }

    pub(crate) const fn state(&self) -> VerdictState {
        self.verdict.state
    }

    /// Returns whether it has been passed on often enough.
    pub(crate) const fn is_sent(&self) -> bool {
        self.sends_left == 0
    }

    pub(crate) const fn part(&self) -> u64 {
        self.verdict.part
    }

    pub(crate) const fn is_request(&self) -> bool {
        self.verdict.is_request
    }

    pub(crate) const fn crashes(&self) -> u32 {
        self.verdict.crashes
    }

    pub(crate) const fn failed_trials(&self) -> u32 {
        self.verdict.failed_trials
    }
}

/// Verdicts about parts.
#[derive(Debug, Clone, Default)]
pub(crate) struct Verdicts {
    /// Sorted by part.
    known: Vec<Known>,
}

impl Verdicts {
    /// Returns the verdict about a part.
    pub(crate) fn get(&self, part: u64) -> Option<&Known> {
        let index = self.index(part).ok()?;
        Some(&self.known[index])
    }

    /// Returns all verdicts, sorted by part.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Known> {
        self.known.iter()
    }

    /// Changes the state of a part and returns the new verdict.
    pub(crate) fn set(
        &mut self,
        now_us: u64,
        part: u64,
        state: VerdictState,
        crashes: u32,
        sends: u32,
    ) -> Verdict {
        let before = self.get(part).map(|known| known.verdict);
        let kept = before.filter(|_| state == VerdictState::Quarantined);
        let verdict = Verdict {
            part,
            is_request: before.is_some_and(|verdict| verdict.is_request),
            epoch: before.map_or(0, |verdict| verdict.epoch).saturating_add(1),
            state,
            crashes: crashes.max(kept.map_or(0, |verdict| verdict.crashes)),
            failed_trials: kept.map_or(0, |verdict| verdict.failed_trials),
            age_ms: 0,
        };
        self.merge(now_us, verdict, sends);
        verdict
    }

    /// Suspects a whole request.
    pub(crate) fn suspect_request(&mut self, now_us: u64, request: u64, crashes: u32, sends: u32) {
        let before = self.get(request).map_or(0, |known| known.verdict.epoch);
        let verdict = Verdict {
            part: request,
            is_request: true,
            epoch: before.saturating_add(1),
            state: VerdictState::Suspected,
            crashes,
            failed_trials: 0,
            age_ms: 0,
        };
        self.merge(now_us, verdict, sends);
    }

    /// Counts a failed trial of a quarantined part.
    pub(crate) fn count_failed_trial(&mut self, now_us: u64, part: u64, sends: u32) {
        if let Some(known) = self.get(part) {
            let verdict = Verdict {
                epoch: known.verdict.epoch.saturating_add(1),
                failed_trials: known.verdict.failed_trials.saturating_add(1),
                age_ms: 0,
                ..known.verdict
            };
            self.merge(now_us, verdict, sends);
        }
    }

    /// Merges a verdict and returns whether it prevails over what was known.
    pub(crate) fn merge(&mut self, now_us: u64, verdict: Verdict, sends: u32) -> bool {
        let changed_us = now_us.saturating_sub(u64::from(verdict.age_ms) * 1_000);
        let new = Known {
            verdict,
            changed_us,
            sends_left: sends,
        };
        match self.index(verdict.part) {
            Ok(index) if verdict.rank() > self.known[index].verdict.rank() => {
                self.known[index] = new;
                true
            }
            Ok(_) => false,
            Err(_) if u64::from(verdict.age_ms) * 1_000 >= VERDICT_AGE_MAX_US => false,
            Err(index) => {
                self.known.insert(index, new);
                self.enforce_bound();
                true
            }
        }
    }

    /// Forgets verdicts that have not changed for long.
    pub(crate) fn expire(&mut self, now_us: u64) {
        self.known
            .retain(|known| now_us.saturating_sub(known.changed_us) < VERDICT_AGE_MAX_US);
    }

    /// Returns up to `count_max` verdicts that are still to be passed on, and counts them as sent.
    pub(crate) fn take_unsent(&mut self, now_us: u64, count_max: usize) -> Vec<Verdict> {
        let mut taken = Vec::new();
        let unsent = self.known.iter_mut().filter(|known| known.sends_left > 0);
        for known in unsent.take(count_max) {
            known.sends_left -= 1;
            taken.push(known.verdict(now_us));
        }
        taken
    }

    /// Returns a digest of all verdicts; equal sets have equal digests, and that of none is 0.
    pub(crate) fn digest(&self) -> u64 {
        self.known.iter().fold(0, |digest, known| {
            let (epoch, precedence, failed_trials) = known.verdict.rank();
            let mut bytes = known.verdict.part.to_le_bytes().to_vec();
            bytes.extend(epoch.to_le_bytes());
            bytes.extend(failed_trials.to_le_bytes());
            bytes.push(precedence);
            digest ^ xxh3_64(&bytes)
        })
    }

    fn enforce_bound(&mut self) {
        if self.known.len() <= VERDICTS_MAX {
            return;
        }
        let least = (0..self.known.len()).min_by_key(|&index| {
            let known = &self.known[index];
            (known.state().is_held(), known.changed_us)
        });
        if let Some(index) = least {
            self.known.remove(index);
        }
    }

    fn index(&self, part: u64) -> Result<usize, usize> {
        self.known
            .binary_search_by_key(&part, |known| known.verdict.part)
    }
}
