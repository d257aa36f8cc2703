use xxhash_rust::xxh3::xxh3_64;

use crate::{Message, Sighting, Symptom, report::Report, reporter::Reporter};

/// Longest time for which an upstream stays doubted without an attempt of this daemon at it.
const UNTRIED_MAX_US: u64 = 10_000_000;

/// Largest number of reporters that are remembered.
const REPORTERS_MAX: usize = 512;

/// Largest number of upstreams about which a reporter's complaints are remembered.
const REPORTS_PER_REPORTER_MAX: usize = 128;

/// Doubt about an upstream that has to be confirmed by an attempt of this daemon.
#[derive(Debug, Clone, Copy)]
struct Doubt {
    upstream: u64,
    since_us: u64,
}

/// What other daemons say of upstreams, weighed against what this daemon knows.
#[derive(Debug, Clone, Default)]
pub struct Board {
    /// Sorted by upstream and reporter.
    reports: Vec<Report>,
    /// Sorted by the hash of the name.
    reporters: Vec<Reporter>,
    /// Sorted by upstream.
    doubts: Vec<Doubt>,
}

impl Board {
    /// Records the complaints of another daemon; returns the upstreams concerned.
    pub fn receive(&mut self, now_us: u64, from: &str, message: &Message) -> Vec<u64> {
        let id = xxh3_64(from.as_bytes());
        let Some(reporter) = self.reporter_mut(id) else {
            return Vec::new();
        };
        reporter.contacts = message.contacts;
        let mut known = self
            .reports
            .iter()
            .filter(|known| known.reporter == id)
            .count();
        let mut upstreams = Vec::new();
        for complaint in message.complaints.iter().take(Message::COMPLAINTS_MAX) {
            let Some(report) = Report::new(now_us, id, complaint) else {
                continue;
            };
            let found = self
                .reports
                .binary_search_by_key(&report.key(), Report::key);
            match found {
                Ok(index) => self.reports[index] = report,
                Err(_) if known >= REPORTS_PER_REPORTER_MAX => continue,
                Err(index) => {
                    known += 1;
                    self.reports.insert(index, report);
                }
            }
            upstreams.push(report.upstream);
        }
        upstreams
    }

    /// Returns until when an upstream is doubted; `None` if the evidence doesn't suffice.
    ///
    /// Daemons that complain about much of what they use don't count: they are more likely cut off
    /// themselves. Nor does evidence from before the upstream's last sign of life. A doubt that
    /// lasts is suspended until this daemon has tried the upstream itself.
    #[must_use]
    pub fn doubted_until_us(
        &mut self,
        now_us: u64,
        upstream: u64,
        sighting: &Sighting,
    ) -> Option<u64> {
        let start = self
            .reports
            .partition_point(|report| report.upstream < upstream);
        let reports = self.reports[start..]
            .iter()
            .take_while(|report| report.upstream == upstream);
        let counted = reports.filter(|report| {
            now_us < report.lapses_us
                && report.agrees_with(sighting)
                && self.is_credible(now_us, report.reporter)
        });
        let (mut weight, mut until_us) = (0, u64::MAX);
        for report in counted {
            weight += report.symptom.weight();
            until_us = until_us.min(report.lapses_us);
            if weight >= Symptom::WEIGHT_MIN {
                break;
            }
        }
        let found = self
            .doubts
            .binary_search_by_key(&upstream, |doubt| doubt.upstream);
        if weight < Symptom::WEIGHT_MIN {
            if let Ok(index) = found
                && sighting.tried_us > self.doubts[index].since_us
            {
                self.doubts.remove(index);
            }
            return None;
        }
        match found {
            Ok(index) => {
                let doubt = &mut self.doubts[index];
                if sighting.tried_us > doubt.since_us {
                    doubt.since_us = now_us;
                }
                (now_us < doubt.since_us.saturating_add(UNTRIED_MAX_US)).then_some(until_us)
            }
            Err(index) => {
                let doubt = Doubt {
                    upstream,
                    since_us: now_us,
                };
                self.doubts.insert(index, doubt);
                Some(until_us)
            }
        }
    }

    /// Records that an upstream answered this daemon: whoever complained about it since its last
    /// sign of life was wrong.
    pub fn record_answer(&mut self, now_us: u64, upstream: u64, sighting: &Sighting) {
        let start = self
            .reports
            .partition_point(|report| report.upstream < upstream);
        let mut index = start;
        while let Some(report) = self.reports.get(index).copied()
            && report.upstream == upstream
        {
            let was_wrong = report.agrees_with(sighting) && report.is_refuted_by(now_us);
            if now_us < report.lapses_us && was_wrong {
                self.reports.remove(index);
                if let Some(reporter) = self.reporter_mut(report.reporter) {
                    reporter.distrust(now_us);
                }
            } else {
                index += 1;
            }
        }
    }

    /// Returns whether there is any report, lapsed or not.
    #[must_use]
    pub const fn has_reports(&self) -> bool {
        !self.reports.is_empty()
    }

    /// Forgets the reports that have lapsed; returns their number.
    pub fn expire(&mut self, now_us: u64) -> usize {
        let before = self.reports.len();
        self.reports.retain(|report| now_us < report.lapses_us);
        let reports = &self.reports;
        self.reporters.retain(|reporter| {
            !reporter.is_forgettable(now_us)
                || reports.iter().any(|report| report.reporter == reporter.id)
        });
        self.doubts
            .retain(|doubt| now_us < doubt.since_us.saturating_add(2 * UNTRIED_MAX_US));
        before - self.reports.len()
    }

    fn is_credible(&self, now_us: u64, id: u64) -> bool {
        let found = self
            .reporters
            .binary_search_by_key(&id, |reporter| reporter.id);
        let complaints = self
            .reports
            .iter()
            .filter(|report| report.reporter == id && now_us < report.lapses_us);
        found.is_ok_and(|index| self.reporters[index].is_credible(now_us, complaints.count()))
    }

    /// Returns a reporter, which is added if there is room.
    fn reporter_mut(&mut self, id: u64) -> Option<&mut Reporter> {
        let found = self
            .reporters
            .binary_search_by_key(&id, |reporter| reporter.id);
        let index = match found {
            Ok(index) => index,
            Err(_) if self.reporters.len() >= REPORTERS_MAX => return None,
            Err(index) => {
                self.reporters.insert(index, Reporter::new(id));
                index
            }
        };
        Some(&mut self.reporters[index])
    }
}
