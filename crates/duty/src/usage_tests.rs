//! Tests of the counts of usage and of their reports, without a network.

use std::time::Duration;

use proptest::prelude::*;
use store::{Fault, MemoryTable};

use crate::{CallOutcome, Counts, Message, Report, Reporter, ReporterStep, Usage, WallClock};

const SECOND_US: u64 = 1_000_000;
const WINDOW_S: u64 = 5;
const LATE_S: u64 = 10;
const KEY: &str = "duty/usage";

/// Several hosts that exchange messages.
struct Fleet {
    hosts: Vec<Usage>,
    unix_us: u64,
    /// Messages under way: from, to and message.
    mail: Vec<(usize, usize, Message)>,
}

impl Fleet {
    fn new(hosts: usize) -> Self {
        let names: Vec<String> = (0..hosts).map(name).collect();
        let usage = |index: usize| {
            let mut usage = Usage::new(WINDOW_S, LATE_S, &names[index], index as u64);
            let others = names.iter().filter(|other| **other != names[index]);
            usage.set_live(others.cloned().collect());
            usage
        };
        Self {
            hosts: (0..hosts).map(usage).collect(),
            unix_us: 1_000 * SECOND_US,
            mail: Vec::new(),
        }
    }

    fn tick(&mut self, host: usize, token: Option<u64>) {
        for (to, message) in self.hosts[host].tick(self.unix_us, self.unix_us, token) {
            let to = number(&to);
            self.mail.push((host, to, message));
        }
    }

    fn deliver(&mut self, (from, to, message): (usize, usize, Message)) {
        let replies = self.hosts[to].receive(&message);
        let replies = replies.into_iter().map(|reply| (to, from, reply));
        self.mail.extend(replies);
    }
}

fn name(host: usize) -> String {
    format!("host-{host}")
}

fn number(name: &str) -> usize {
    name.trim_start_matches("host-").parse().unwrap()
}

#[derive(Debug, Clone, Copy)]
struct Luck {
    is_lost: bool,
    is_repeated: bool,
    /// Which of the waiting messages is delivered next.
    choice: usize,
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::default()
    })]
    /// Guards against sums that loss, repeats or reordering of messages change: the holder has to
    /// know the exact counts as soon as it believes that they are complete.
    #[test]
    fn counts_are_exact_once_complete(
        requests in prop::collection::vec((0..4_usize, 0..6_usize, 0..20_000_u64), 0..120),
        luck in prop::collection::vec(
            (prop::bool::weighted(0.3), prop::bool::weighted(0.2), 0..50_usize), 1..40),
        holder in 0..4_usize,
    ) {
        let mut fleet = Fleet::new(4);
        let begin_us = fleet.unix_us;
        let window = fleet.hosts[0].window_of(begin_us);
        let mut requests = requests;
        requests.sort_by_key(|request| request.2);
        let mut next = requests.iter().peekable();
        let mut luck = luck.iter().cycle();
        let mut truth = Counts::default();
        let mut completed = false;
        for tick in 0..60_u64 {
            fleet.unix_us = begin_us + tick * 250_000;
            while let Some((host, account, at_ms)) =
                next.next_if(|request| request.2 * 1_000 <= tick * 250_000)
            {
                let at_us = begin_us + at_ms * 1_000;
                fleet.hosts[*host].record(&format!("account-{account}"), at_us);
                if fleet.hosts[*host].window_of(at_us) == window {
                    truth.add(&format!("account-{account}"), 1);
                }
            }
            for host in 0..4 {
                fleet.tick(host, (host == holder).then_some(7));
            }
            for _ in 0..fleet.mail.len() {
                let (is_lost, is_repeated, choice) = *luck.next().unwrap();
                let luck = Luck { is_lost, is_repeated, choice };
                if fleet.mail.is_empty() {
                    break;
                }
                let mail = fleet.mail.remove(luck.choice % fleet.mail.len());
                if luck.is_repeated {
                    fleet.deliver(mail.clone());
                }
                // The network is sound at the end, so that the counts must become complete.
                if !luck.is_lost || tick > 40 {
                    fleet.deliver(mail);
                }
            }
            if fleet.unix_us > fleet.hosts[0].end_us(window) && fleet.hosts[holder].is_complete(window) {
                completed = true;
                prop_assert_eq!(fleet.hosts[holder].counts(window), truth.clone());
            }
        }
        prop_assert!(completed, "never complete");
    }

    /// Guards against two reports of one window with other counts, from holders that follow each
    /// other at any point, with faults of the store and calls without answers.
    #[test]
    fn window_is_reported_with_one_set_of_counts(
        events in prop::collection::vec((0..3_usize, 0..10_u8, any::<bool>()), 1..300),
    ) {
        let table = MemoryTable::default();
        let mut hosts: Vec<(Reporter, Usage, u64, Option<ReporterStep>)> = (0..3)
            .map(|host| {
                let mut usage = Usage::new(WINDOW_S, LATE_S, &name(host), 1);
                // Each host knows other counts.
                for window in 0..40_u64 {
                    for _ in 0..=host {
                        usage.record("account", (1_000 + window * WINDOW_S) * SECOND_US);
                    }
                }
                (Reporter::default(), usage, 0, None)
            })
            .collect();
        let mut sent: Vec<Report> = Vec::new();
        let mut token = 0;
        let mut holder = 0;
        let mut unix_us = 1_000 * SECOND_US;
        for (host, kind, flag) in events {
            unix_us += 300_000;
            if kind == 0 && host != holder {
                holder = host;
                token += 1;
                hosts[host].2 = token;
            }
            if kind == 1 {
                // The process ends with a step under way, and starts again.
                hosts[host].0 = Reporter::default();
                hosts[host].3 = None;
            }
            let fault = match kind {
                2 => Some(Fault::Down),
                3 => Some(Fault::AnswerLost),
                4 => Some(Fault::RequestLost),
                _ => None,
            };
            let (reporter, usage, own, pending) = &mut hosts[host];
            // A holder that was replaced may still carry out a write, but makes no call.
            let is_holder = host == holder && *own > 0;
            let step = pending.take().unwrap_or_else(|| {
                reporter.step(unix_us, unix_us, is_holder.then_some(*own), usage)
            });
            if flag && matches!(step, ReporterStep::Write { .. }) && pending.is_none() && kind > 7 {
                *pending = Some(step);
                continue;
            }
            match step {
                ReporterStep::Wait(_) => {}
                ReporterStep::Read => {
                    table.push_fault(fault);
                    let row = table.read_now(KEY);
                    reporter.handle_read(unix_us, unix_us, usage, row).unwrap();
                }
                ReporterStep::Write { expect, reports } => {
                    table.push_fault(fault);
                    let written = table.write_now(KEY, expect, &reports.to_value());
                    reporter.handle_write(unix_us, unix_us, usage, written).unwrap();
                }
                ReporterStep::Call(report) if is_holder => {
                    sent.push(report.clone());
                    let outcome = if flag {
                        CallOutcome::Accepted
                    } else {
                        CallOutcome::Again(Duration::from_millis(500))
                    };
                    reporter.handle_call(unix_us, report.window, outcome);
                }
                ReporterStep::Call(report) => {
                    reporter.handle_call(unix_us, report.window, CallOutcome::Blocked);
                }
            }
        }
        sent.sort_by_key(|report| report.window);
        for pair in sent.windows(2) {
            prop_assert!(pair[0].window != pair[1].window || pair[0] == pair[1], "{pair:?}");
        }
    }
}

/// Guards against a report that leaves out the counts of a host that died: what it had told its
/// keepers remains.
#[test]
fn keeps_counts_of_a_dead_host() {
    let mut fleet = Fleet::new(3);
    let window = fleet.hosts[0].window_of(fleet.unix_us);
    let dead = 0;
    for _ in 0..20 {
        fleet.hosts[dead].record("account", fleet.unix_us);
    }
    fleet.tick(dead, None);
    let mail = std::mem::take(&mut fleet.mail);
    // Only one keeper has got it, and the other host holds the duties.
    let other = mail[0].1;
    let holder = 3 - other;
    for mail in mail.into_iter().filter(|(_, to, _)| *to == other) {
        fleet.deliver(mail);
    }
    fleet.mail.clear();
    for host in [holder, other] {
        fleet.hosts[host].set_live(vec![name(3 - host)]);
    }
    for _ in 0..30 {
        fleet.unix_us += 250_000;
        fleet.tick(holder, Some(1));
        fleet.tick(other, None);
        while let Some(mail) = fleet.mail.pop() {
            fleet.deliver(mail);
        }
    }
    assert!(fleet.hosts[holder].is_complete(window));
    assert_eq!(fleet.hosts[holder].counts(window).get("account"), 20);
}

/// Guards against pages that don't fit into a datagram, with many accounts with long names.
#[test]
fn pages_fit_into_datagrams() {
    let mut fleet = Fleet::new(2);
    for account in 0..440 {
        let account = format!("client-account-of-some-length-{account}");
        fleet.hosts[0].record(&account, fleet.unix_us);
    }
    fleet.tick(0, None);
    assert!(fleet.mail.len() > 10);
    for (_, _, message) in &fleet.mail {
        // One byte more for the envelope of the daemon's messages.
        let bytes = postcard::to_stdvec(message).unwrap().len() + 1;
        assert!(bytes <= 800, "{bytes}");
    }
}

/// Guards against counts that overflow.
#[test]
fn counts_saturate() {
    let mut counts = Counts::default();
    counts.add("a", u64::MAX);
    counts.add("a", 1);
    counts.add("b", 1);
    assert_eq!((counts.get("a"), counts.total()), (u64::MAX, u64::MAX));
}

/// Guards against windows that are counted twice or left out while the wall clock jumps.
#[test]
fn wall_clock_without_steps() {
    let hour_us = 3_600 * SECOND_US;
    let cases = [
        ("forward and back", hour_us, 30, false),
        ("forward for good", hour_us, 90, true),
        ("small", 200_000, 1, true),
    ];
    for (name, step_us, lasts_s, is_adopted) in cases {
        let mut clock = WallClock::default();
        assert_eq!(clock.unix_us(0, 10 * hour_us), 10 * hour_us, "{name}");
        let mut found = 0;
        for second in 1..=lasts_s {
            let steady_us = second * SECOND_US;
            let wall_us = 10 * hour_us + steady_us + step_us;
            found = clock.unix_us(steady_us, wall_us) - 10 * hour_us - steady_us;
        }
        assert_eq!(found, if is_adopted { step_us } else { 0 }, "{name}");
    }
}

/// Guards against overwriting a row that holds something else, and against reports on top of it.
#[test]
fn unreadable_row_stops_reports() {
    let usage = Usage::new(WINDOW_S, LATE_S, "host-0", 1);
    let table = MemoryTable::default();
    table.write_now(KEY, store::Expect::Absent, "[]").unwrap();
    let mut reporter = Reporter::default();
    let unix_us = 1_000 * SECOND_US;
    assert_eq!(
        reporter.step(0, unix_us, Some(1), &usage),
        ReporterStep::Read
    );
    let read = reporter.handle_read(0, unix_us, &usage, table.read_now(KEY));
    assert!(read.is_err());
    let step = reporter.step(1, unix_us, Some(1), &usage);
    assert!(matches!(step, ReporterStep::Wait(_)), "{step:?}");
}
