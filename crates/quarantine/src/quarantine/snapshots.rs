//! Snapshots for daemons that start later.

use super::{Quarantine, since_origin};
use crate::{LossReport, Snapshot, Verdict, VerdictState, home_rank};

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
        let snapshot = Snapshot::new(unix_ms, self.log.reports(now_us), verdicts.collect());
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
        let age = |age_ms: u32| {
            let age_ms = age_ms.saturating_add(elapsed_ms);
            (age_ms, now_us.checked_sub(u64::from(age_ms) * 1_000))
        };
        for &(part, age_ms) in &snapshot.answered {
            if let (_, Some(answered_us)) = age(age_ms)
                && self.answered.last_us(part) < Some(answered_us)
            {
                self.answered.insert(answered_us, part);
            }
        }
        for verdict in &snapshot.verdicts {
            let (age_ms, Some(changed_us)) = age(verdict.age_ms) else {
                continue;
            };
            let restored = Verdict { age_ms, ..*verdict };
            match verdict.state {
                // Only crashes before its clearance are excused, not all before the restart.
                VerdictState::Cleared if self.verdicts.merge(now_us, restored, 0) => {
                    self.note_clearance(changed_us, verdict.part);
                    self.note_change(now_us, verdict.part);
                }
                VerdictState::Cleared => {}
                // Daemons that started lately need their time to see an answer to it.
                VerdictState::Suspected => self.merge(
                    now_us,
                    Verdict {
                        age_ms: 0,
                        ..*verdict
                    },
                ),
                VerdictState::Quarantined => self.merge(now_us, restored),
            }
        }
        // The log groups crashes in the order of their arrival.
        for report in snapshot.losses.iter().rev() {
            let (age_ms, at_us) = age(report.age_ms);
            if let Some(at_us) = at_us {
                let report = LossReport {
                    age_ms,
                    ..report.clone()
                };
                self.add_loss(at_us, &report);
            }
        }
    }
}
