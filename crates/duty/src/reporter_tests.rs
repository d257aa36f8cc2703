//! Reports of one holder whose store comes back from older copies.

use std::time::Duration;

use proptest::prelude::*;
use store::{Fault, MemoryTable, TableCopy};

use crate::{CallOutcome, Report, Reporter, ReporterStep, Usage};

const SECOND_US: u64 = 1_000_000;
const WINDOW_S: u64 = 5;

/// Without the counts of a host that is gone, a window is reported half of this after its end; the
/// other half is longer than all faults of a test can hold it up.
const LATE_S: u64 = 30;
const KEY: &str = "duty/usage";

/// Shortest time between two holds.
const LEASE_US: u64 = 3 * SECOND_US;

/// Time between two steps.
const STEP_US: u64 = 100_000;

/// Calls in a row that the control service leaves without an answer. A report that gets none until it
/// is overdue is missed whatever the store does.
const UNANSWERED_MAX: u32 = 3;

/// Store, holder and control service.
struct System {
    table: MemoryTable,
    copy: TableCopy,
    /// Newest era that an answer told the holder.
    era: u64,
    reporter: Reporter,
    usage: Usage,
    token: u64,
    unix_us: u64,
    /// Reports that the control service has got.
    sent: Vec<Report>,
    /// Windows that it has accepted.
    accepted: Vec<u64>,
    /// Last calls without an answer.
    unanswered: u32,
}

impl System {
    fn new() -> Self {
        Self {
            table: MemoryTable::default(),
            copy: TableCopy::default(),
            era: 0,
            reporter: Reporter::default(),
            usage: Usage::new(WINDOW_S, LATE_S, "host-0", 1),
            token: 1,
            unix_us: 1_000 * SECOND_US,
            sent: Vec::new(),
            accepted: Vec::new(),
            unanswered: 0,
        }
    }

    /// Carries out a step; a call gets an answer, or none.
    fn step(&mut self, fault: Option<Fault>, is_answered: bool) {
        self.unix_us += STEP_US;
        let unix_us = self.unix_us;
        // Counts of a window that is over still grow, so that a window that is counted again gets
        // other counts.
        for window_ago in 0..5 {
            let began_us = unix_us - window_ago * WINDOW_S * SECOND_US;
            self.usage.record("account", began_us);
        }
        let (reporter, usage) = (&mut self.reporter, &self.usage);
        match reporter.step(unix_us, unix_us, Some(self.token), usage) {
            ReporterStep::Wait(_) => {}
            ReporterStep::Read => {
                self.table.push_fault(fault);
                let row = self.table.read_now(KEY);
                if row.is_ok() {
                    self.era = self.table.era_now();
                }
                reporter.handle_read(unix_us, unix_us, usage, row).unwrap();
            }
            ReporterStep::Write { expect, reports } => {
                let is_unaware = self.era < self.table.era_now();
                let unaware = is_unaware.then_some(Fault::EraUnknown);
                self.table.push_fault(fault.or(unaware));
                let written = self.table.write_now(KEY, expect, &reports.to_value());
                if fault.is_none() {
                    self.era = self.table.era_now();
                }
                reporter
                    .handle_write(unix_us, unix_us, usage, written)
                    .unwrap();
            }
            ReporterStep::Call(report) => {
                let window = report.window;
                assert!(!self.accepted.contains(&window), "reported again: {window}");
                let earlier = self.sent.iter().find(|sent| sent.window == window);
                let earlier = earlier.unwrap_or(&report);
                assert_eq!(*earlier, report, "other counts of a window");
                self.sent.push(report);
                let outcome = if is_answered || self.unanswered >= UNANSWERED_MAX {
                    self.unanswered = 0;
                    self.accepted.push(window);
                    CallOutcome::Accepted
                } else {
                    self.unanswered += 1;
                    CallOutcome::Again(Duration::from_millis(500))
                };
                reporter.handle_call(unix_us, window, outcome);
            }
        }
    }

    fn run(&mut self, steps: u64) {
        for _ in 0..steps {
            self.step(None, true);
        }
    }

    /// Checks that no window was left out up to the last one that is due.
    fn check(&mut self, first: u64) {
        let counters = self.reporter.take_counters();
        assert_eq!(counters.missed, 0);
        let due = self.usage.window_of(self.unix_us - LATE_S * SECOND_US);
        for window in first..due {
            assert!(self.accepted.contains(&window), "left out: {window}");
        }
    }
}

/// Guards against a window that is reported again, or left out, because the row of a restored store
/// tells less than was reported.
#[test]
fn restored_row_changes_no_report() {
    // Whether the copy has the row; whether the last report had an answer; whether the holder had
    // lost the duties and holds them again.
    let cases = [
        (true, true, false),
        (true, false, false),
        (false, true, false),
        (false, false, false),
        (true, true, true),
        (false, false, true),
    ];
    for (has_row, is_answered, is_new_hold) in cases {
        let mut system = System::new();
        let first = system.usage.window_of(system.unix_us);
        if has_row {
            // The first window ends at 5 s, and is written and sent 15 s later.
            system.run(210);
            assert_eq!(system.accepted, [first]);
            system.copy = system.table.copy();
        }
        // The next one is sent.
        let known = system.sent.len();
        while system.sent.len() == known {
            system.step(None, is_answered);
        }
        system.table.restore(&system.copy.clone());
        system.token += u64::from(is_new_hold);
        system.run(600);
        system.check(first);
    }
}

/// Guards against a report that a later holder counts again, because the holder of before a restore
/// wrote it only together with the next one.
#[test]
fn restored_row_is_written_again_at_once() {
    let mut system = System::new();
    system.run(210);
    let before = system.table.read_now(KEY).unwrap().unwrap().value;
    system.table.restore(&TableCopy::default());
    system.reporter.see_era(system.table.era_now());
    system.run(3);
    let row = system.table.read_now(KEY).unwrap();
    assert_eq!(row.map(|row| row.value), Some(before));
}

#[derive(Debug, Clone, Copy)]
enum Event {
    Step {
        fault: Option<Fault>,
        is_answered: bool,
    },
    Copy,
    Restore,
    /// The holder learns the era from another host.
    Hear,
    /// The host loses the duties and holds them again, not before a lease has passed.
    Regain,
}

fn event() -> impl Strategy<Value = Event> {
    let fault = prop_oneof![
        20 => Just(None),
        1 => Just(Some(Fault::Down)),
        1 => Just(Some(Fault::AnswerLost)),
        1 => Just(Some(Fault::RequestLost)),
    ];
    let step = (fault, prop::bool::weighted(0.8));
    prop_oneof![
        40 => step.prop_map(|(fault, is_answered)| Event::Step { fault, is_answered }),
        1 => Just(Event::Copy),
        1 => Just(Event::Restore),
        1 => Just(Event::Hear),
        1 => Just(Event::Regain),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::default()
    })]
    /// Guards against windows that are reported twice, with other counts, or not at all, wherever
    /// the store comes back from a copy.
    #[test]
    fn each_window_is_reported_once_over_restores(
        events in prop::collection::vec(event(), 1..600),
    ) {
        let mut system = System::new();
        let first = system.usage.window_of(system.unix_us);
        // The row exists or is written by the holder that starts in the first window.
        system.run(3);
        let mut held_us = system.unix_us;
        for event in events {
            match event {
                Event::Step { fault, is_answered } => system.step(fault, is_answered),
                Event::Copy => system.copy = system.table.copy(),
                Event::Restore => system.table.restore(&system.copy),
                Event::Hear => system.reporter.see_era(system.table.era_now()),
                Event::Regain if system.unix_us - held_us < LEASE_US => {}
                Event::Regain => {
                    system.token += 1;
                    held_us = system.unix_us;
                }
            }
        }
        system.run(2 * LATE_S * SECOND_US / STEP_US);
        system.check(first);
    }
}
