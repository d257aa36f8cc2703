use crate::{Complaint, Sighting, Symptom};

/// Time after the beginning of a silence in which something may still arrive that was sent before: on
/// the way between regions, or waiting to be read by a busy daemon.
const IN_TRANSIT_US: u64 = 200_000;

/// Complaint of one daemon about one upstream, on this daemon's clock.
#[derive(Debug, Clone, Copy)]
pub struct Report {
    pub upstream: u64,
    /// Hash of the reporter's name.
    pub reporter: u64,
    pub started_ms: u64,
    pub symptom: Symptom,
    /// Time since which nothing came from the upstream.
    pub since_us: u64,
    /// Time at which the report lapses.
    pub lapses_us: u64,
}

impl Report {
    /// Creates the report for a complaint; `None` if the complaint has lapsed.
    pub fn new(now_us: u64, reporter: u64, complaint: &Complaint) -> Option<Self> {
        let age_us = u64::from(complaint.age_ms) * 1_000;
        let silent_us = u64::from(complaint.silent_ms) * 1_000;
        let lifetime_us = complaint.symptom.lifetime_us();
        let left_us = lifetime_us.checked_sub(age_us).filter(|&left| left > 0)?;
        Some(Self {
            upstream: complaint.upstream,
            reporter,
            started_ms: complaint.started_ms,
            symptom: complaint.symptom,
            since_us: now_us.saturating_sub(age_us + silent_us),
            lapses_us: now_us.saturating_add(left_us),
        })
    }

    pub const fn key(&self) -> (u64, u64) {
        (self.upstream, self.reporter)
    }

    /// Returns whether it concerns the process that this daemon knows, and whether nothing that
    /// this daemon received contradicts it.
    pub fn agrees_with(&self, sighting: &Sighting) -> bool {
        let same_process = sighting
            .started_ms
            .is_none_or(|started_ms| self.started_ms == 0 || self.started_ms == started_ms);
        same_process && !self.is_refuted_by(sighting.alive_us)
    }

    /// Returns whether something that was received at this time was sent after the silence began.
    pub const fn is_refuted_by(&self, alive_us: u64) -> bool {
        alive_us > self.since_us.saturating_add(IN_TRANSIT_US)
    }
}
