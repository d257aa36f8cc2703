//! Snapshots for daemons that start later.

use super::{Quarantine, since_origin};
use crate::{Snapshot, Verdict, VerdictState, home_rank};

impl Quarantine {
    /// Returns the number of changes of the evidence and the verdicts.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the position of this daemon among those that gather the evidence, if it is one.
    #[must_use]
    pub fn home_rank(&self) -> Option<usize> {
        home_rank(&self.name, self.live.iter().map(AsRef::as_ref))
    }

    /// Returns the evidence and the verdicts; `unix_ms` is the wall-clock time.
    #[must_use]
    pub fn snapshot(&self, now_us: u64, unix_ms: u64) -> Snapshot {
        let now_us = since_origin(now_us);
        let verdicts = self.verdicts.iter().map(|known| known.verdict(now_us));
        let released_us = |part| self.releases.last_us(part);
        let losses = self.request_log.reports(now_us);
        let losses = losses.chain(self.log.reports(now_us, released_us));
        let snapshot = Snapshot::new(unix_ms, losses, verdicts.collect());
        let losses = snapshot.losses.iter();
        let mut parts: Vec<u64> = losses.flat_map(|loss| loss.parts.clone()).collect();
        parts.sort_unstable();
        parts.dedup();
        let answered = parts.into_iter().filter_map(|part| {
            let age_ms = now_us.saturating_sub(self.answered.last_us(part)?) / 1_000;
            Some((part, u32::try_from(age_ms).unwrap_or(u32::MAX)))
        });
        Snapshot {
            answered: answered.collect(),
            ..snapshot
        }
    }

    /// Adds the evidence and the verdicts of a snapshot, which may be an old one, and spreads the
    /// verdicts; `unix_ms` is the wall-clock time.
    pub fn restore(&mut self, now_us: u64, unix_ms: u64, snapshot: &Snapshot) {
        let now_us = since_origin(now_us);
        let elapsed_ms = unix_ms.saturating_sub(snapshot.taken_unix_ms);
        let elapsed_ms = u32::try_from(elapsed_ms).unwrap_or(u32::MAX);
        // What is older than the clock can tell has expired anyway.
        let at_us = |age_ms: u32| now_us.checked_sub(u64::from(age_ms) * 1_000);
        for &(part, age_ms) in &snapshot.answered {
            let answered_us = at_us(age_ms.saturating_add(elapsed_ms));
            if let Some(answered_us) = answered_us
                && self.answered.last_us(part) < Some(answered_us)
            {
                self.answered.insert(answered_us, part);
            }
        }
        for verdict in &snapshot.verdicts {
            let mut verdict = *verdict;
            verdict.age_ms = verdict.age_ms.saturating_add(elapsed_ms);
            let Some(changed_us) = at_us(verdict.age_ms) else {
                continue;
            };
            match verdict.state {
                VerdictState::Dismissed | VerdictState::Cleared | VerdictState::Released => {
                    self.restore_free(now_us, verdict, changed_us);
                }
                VerdictState::Suspected => {
                    // Daemons that started lately need their time to see an answer to it.
                    verdict.age_ms = 0;
                    self.merge(now_us, verdict);
                }
                VerdictState::Quarantined => self.merge(now_us, verdict),
            }
        }
        // The log groups crashes in the order of their arrival.
        for report in snapshot.losses.iter().rev() {
            if let Some(at_us) = at_us(report.age_ms.saturating_add(elapsed_ms)) {
                self.add_loss(now_us, at_us, u64::from(report.ran_ms) * 1_000, report);
            }
        }
    }

    /// Merges a verdict of a free part, which excuses only the crashes before it, not all before the
    /// restart.
    fn restore_free(&mut self, now_us: u64, verdict: Verdict, freed_us: u64) {
        if self.verdicts.merge(now_us, verdict, 0) {
            self.note_freed(freed_us, verdict.part, verdict.state);
            self.note_change(now_us, verdict.part);
        }
    }
}
