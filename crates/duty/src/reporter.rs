use std::time::Duration;

use store::{Expect, Row, StoreError, StoreVersion};

use crate::{Report, Reports, Usage};

/// Time after the end of a window at which it is reported at the earliest: the other candidates have
/// told by then what they keep of hosts that are gone.
const EARLIEST_US: u64 = 1_200_000;

/// Time after the begin of a hold in which the other hosts tell the new holder their sums.
const GATHER_US: u64 = 1_000_000;

/// Time between two checks.
const CHECK_US: u64 = 200_000;

/// Delay before a failed read, write or call is tried again.
const RETRY_US: u64 = 400_000;

/// Step that the caller of a [`Reporter`] has to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReporterStep {
    /// Read the row and pass the result to `handle_read`.
    Read,
    /// Write the row and pass the result to `handle_write`.
    Write {
        /// Condition on the current version of the row.
        expect: Expect,
        /// Content of the row.
        reports: Reports,
    },
    /// Report these counts and pass the result to `handle_call`.
    Call(Report),
    /// Call `step` again after this time.
    Wait(Duration),
}

/// What a call led to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// The report is known to the control service.
    Accepted,
    /// The control service refused the report for good.
    Refused,
    /// The same report has to be sent again after this time.
    Again(Duration),
    /// Nothing was sent, because the hold or the rate of calls did not allow it.
    Blocked,
}

/// Windows that ended since the last time, for metrics and logs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReporterCounters {
    /// Windows that the control service accepted.
    pub reported: u64,
    /// Windows that were overdue before they were accepted.
    pub missed: u64,
}

/// State machine of the holder that reports usage: it writes each report ahead, then sends it.
#[derive(Debug, Clone, Default)]
pub struct Reporter {
    /// Token of the hold under which the row was read.
    token: u64,
    /// Time at which the hold began.
    held_since_us: u64,
    row: Option<KnownRow>,
    /// Newest known era of the store.
    era: u64,
    /// What was last known to be in the row, by any holder. It goes before what the row says, because
    /// the row of a store that has come back from an older copy tells less than was reported.
    stored: Option<Reports>,
    pause_until_us: u64,
    /// Windows that were accepted or refused for this host and are not overdue yet.
    done: Vec<u64>,
    /// Last window that was counted as missed or reported.
    counted: Option<u64>,
    counters: ReporterCounters,
    /// Write whose result is awaited.
    writing: Option<Reports>,
}

#[derive(Debug, Clone)]
struct KnownRow {
    expect: Expect,
    reports: Reports,
    /// Whether the row in the store lacks some of these reports, so that it has to be written before
    /// anything is sent.
    is_behind: bool,
}

impl Reporter {
    /// Returns the windows that were reported and missed since the last call.
    pub fn take_counters(&mut self) -> ReporterCounters {
        std::mem::take(&mut self.counters)
    }

    /// Records the newest known era of the store.
    ///
    /// In a new era the row is read, and written again if it tells less than is known.
    pub fn see_era(&mut self, era: u64) {
        if era > self.era {
            self.era = era;
            self.row = None;
        }
    }

    /// Returns the next step under the hold with this token; `None` means that there is no hold.
    pub fn step(
        &mut self,
        now_us: u64,
        unix_us: u64,
        token: Option<u64>,
        usage: &Usage,
    ) -> ReporterStep {
        let wait = ReporterStep::Wait(Duration::from_micros(CHECK_US));
        let Some(token) = token else {
            self.token = 0;
            return wait;
        };
        if token != self.token {
            // Another holder may have written the row since.
            self.token = token;
            self.held_since_us = now_us;
            self.row = None;
            self.writing = None;
            self.done.retain(|window| unix_us < usage.due_us(*window));
            self.pause_until_us = 0;
        }
        if now_us < self.pause_until_us {
            return ReporterStep::Wait(Duration::from_micros(self.pause_until_us - now_us));
        }
        let Some(row) = &self.row else {
            return ReporterStep::Read;
        };
        if row.is_behind {
            let (expect, reports) = (row.expect, row.reports.clone());
            self.writing = Some(reports.clone());
            return ReporterStep::Write { expect, reports };
        }
        let reports = &row.reports.reports;
        let unsent = reports.iter().find(|report| {
            !self.done.contains(&report.window) && unix_us < usage.due_us(report.window)
        });
        if let Some(report) = unsent {
            return ReporterStep::Call(report.clone());
        }
        let expect = row.expect;
        let has_gathered = now_us.saturating_sub(self.held_since_us) >= GATHER_US;
        match self.next_reports(unix_us, has_gathered, usage) {
            Some(reports) => {
                self.writing = Some(reports.clone());
                ReporterStep::Write { expect, reports }
            }
            None => wait,
        }
    }

    /// Handles the result of reading the row; returns an error if it can't be parsed, in which case
    /// nothing is reported.
    ///
    /// # Errors
    ///
    /// Returns the error of a row that holds something else.
    pub fn handle_read(
        &mut self,
        now_us: u64,
        unix_us: u64,
        usage: &Usage,
        result: Result<Option<Row>, StoreError>,
    ) -> Result<(), serde_json::Error> {
        self.pause_until_us = now_us + RETRY_US;
        let Ok(row) = result else { return Ok(()) };
        self.take_row(now_us, unix_us, usage, row)
    }

    /// Handles the result of writing the row.
    ///
    /// # Errors
    ///
    /// Returns the error of a row that another holder wrote and that holds something else.
    pub fn handle_write(
        &mut self,
        now_us: u64,
        unix_us: u64,
        usage: &Usage,
        result: Result<StoreVersion, StoreError>,
    ) -> Result<(), serde_json::Error> {
        let Some(reports) = self.writing.take() else {
            return Ok(());
        };
        match result {
            Ok(version) => {
                self.see_era(version.era);
                self.stored = Some(reports.clone());
                // A row of an earlier era is gone.
                self.row = (version.era == self.era).then_some(KnownRow {
                    expect: Expect::Version(version),
                    reports,
                    is_behind: false,
                });
                Ok(())
            }
            Err(StoreError::Conflict(row)) => self.take_row(now_us, unix_us, usage, row),
            // The write may have taken effect: only the row says what may be sent.
            Err(StoreError::Unknown | StoreError::Down) => {
                self.row = None;
                self.pause_until_us = now_us + RETRY_US;
                Ok(())
            }
        }
    }

    /// Handles the result of a call.
    pub fn handle_call(&mut self, now_us: u64, window: u64, outcome: CallOutcome) {
        match outcome {
            CallOutcome::Accepted => {
                self.done.push(window);
                if self.counted < Some(window) {
                    self.counted = Some(window);
                    self.counters.reported += 1;
                }
            }
            CallOutcome::Refused => {
                self.done.push(window);
                if self.counted < Some(window) {
                    self.counted = Some(window);
                    self.counters.missed += 1;
                }
            }
            CallOutcome::Blocked => {}
            CallOutcome::Again(pause) => {
                let pause_us = u64::try_from(pause.as_micros()).unwrap_or(RETRY_US);
                self.pause_until_us = now_us.saturating_add(pause_us.max(RETRY_US));
            }
        }
    }

    /// Returns the content of the row with the windows that can be reported now, if there is one.
    fn next_reports(&mut self, unix_us: u64, has_gathered: bool, usage: &Usage) -> Option<Reports> {
        let through = self.row.as_ref()?.reports.through;
        let current = usage.window_of(unix_us);
        let mut next = self.row.as_ref()?.reports.clone();
        let mut has_new = false;
        for window in through.saturating_add(1)..current {
            if unix_us >= usage.due_us(window) {
                if self.counted < Some(window) {
                    self.counted = Some(window);
                    self.counters.missed += 1;
                }
                next.through = window;
                continue;
            }
            if !is_ready(unix_us, window, has_gathered, usage) {
                break;
            }
            next.through = window;
            next.reports.push(Report {
                window,
                counts: usage.counts(window),
            });
            has_new = true;
        }
        next.reports
            .retain(|report| unix_us < usage.due_us(report.window));
        has_new.then_some(next)
    }

    /// Takes over the row, with what is known beyond it; if nothing is known, and without a row, the
    /// windows from the current one on are reported.
    fn take_row(
        &mut self,
        now_us: u64,
        unix_us: u64,
        usage: &Usage,
        row: Option<Row>,
    ) -> Result<(), serde_json::Error> {
        let found = row.as_ref().map(|row| Reports::parse(&row.value));
        let found = found.transpose().inspect_err(|_| {
            self.pause_until_us = now_us + 10 * RETRY_US;
        })?;
        if let Some(row) = &row {
            self.see_era(row.version.era);
        }
        if let Some(stored) = &mut self.stored {
            let reports = &mut stored.reports;
            reports.retain(|report| unix_us < usage.due_us(report.window));
        }
        let reports = match (&self.stored, &found) {
            (Some(stored), Some(found)) => stored.merged_with(found),
            (Some(reports), None) | (None, Some(reports)) => reports.clone(),
            (None, None) => Reports {
                through: usage.window_of(unix_us).saturating_sub(1),
                reports: Vec::new(),
            },
        };
        let is_behind = self.stored.is_some() && found.as_ref() != Some(&reports);
        self.pause_until_us = 0;
        self.stored = Some(reports.clone());
        self.row = Some(KnownRow {
            expect: row.map_or(Expect::Absent, |row| Expect::Version(row.version)),
            reports,
            is_behind,
        });
        Ok(())
    }
}

/// Returns whether all hosts have told their counts of a window, or can't be waited for any longer.
///
/// A holder that has not gathered yet leaves a window out rather than report a part of its counts.
fn is_ready(unix_us: u64, window: u64, has_gathered: bool, usage: &Usage) -> bool {
    let (end_us, due_us) = (usage.end_us(window), usage.due_us(window));
    let latest_us = (due_us.saturating_sub(end_us) / 2).max(EARLIEST_US);
    let passed_us = unix_us.saturating_sub(end_us);
    let is_late = passed_us >= latest_us && has_gathered;
    is_late || (passed_us >= EARLIEST_US && usage.is_complete(window))
}
