//! Tests of leases and deliveries with faults of the store and of the upstream.

use store::{Expect, Fault, MemoryTable};

use crate::{
    Action, Delivery, DeliveryStep, Lease, LeaseEnd, LeaseStep, LeaseTiming, Outcome, Record,
    SendResult, UpstreamState, row_key,
};

const SECOND_US: u64 = 1_000_000;

/// Carries out the steps of a lease until it is held or has ended.
fn run(table: &MemoryTable, lease: &mut Lease, now_us: &mut u64) -> LeaseStep {
    loop {
        match lease.step(*now_us) {
            LeaseStep::Read => lease.handle_read(*now_us, table.read_now(&row_key("e"))),
            LeaseStep::Write { expect, record } => {
                let result = table.write_now(&row_key("e"), expect, &record.to_value());
                lease.handle_write(*now_us, result);
            }
            LeaseStep::Wait { until_us } => *now_us = until_us,
            step => return step,
        }
    }
}

fn lease(name: &str, now_us: u64) -> Lease {
    Lease::new(LeaseTiming::default(), name, name, now_us)
}

/// Guards against a lost, failed or stale call of the store after which a lease is wrongly taken as
/// held or not held.
#[test]
fn holds_lease_through_faults_of_the_store() {
    use Fault::{AnswerLost, Down, RequestLost, Stale};
    let held = |until_us| LeaseStep::Held { until_us };
    let failed = LeaseStep::Ended(LeaseEnd::StoreFailed);
    let until_us = 9 * SECOND_US;
    let (down, lost) = (Some(Down), Some(AnswerLost));
    let cases: [(&str, &[Option<Fault>], LeaseStep); 6] = [
        ("no fault", &[], held(until_us)),
        ("read down", &[down], held(until_us + 50_000)),
        ("write lost", &[None, lost], held(until_us)),
        ("request lost", &[None, Some(RequestLost)], held(until_us)),
        ("stale", &[None, lost, Some(Stale)], held(until_us)),
        ("down for good", &[down; 9], failed),
    ];
    for (name, faults, expected) in cases {
        let table = MemoryTable::default();
        for &fault in faults {
            table.push_fault(fault);
        }
        let mut first = lease("a", 0);
        let found = run(&table, &mut first, &mut 0);
        assert_eq!(found, expected, "{name}");
    }
}

/// Guards against a lease that is taken over too early or never, and against a token that is used
/// twice.
#[test]
fn holds_lease_until_expired_or_released() {
    let cases = [
        ("held", false, 11 * SECOND_US),
        ("released", true, 2 * SECOND_US),
    ];
    for (name, released, takeover_us) in cases {
        let table = MemoryTable::default();
        let mut first = lease("a", 0);
        run(&table, &mut first, &mut 0);
        if released {
            first.release();
            run(&table, &mut first, &mut 0);
            assert!(!first.holds(0), "{name}");
        }
        let mut now_us = if released { takeover_us } else { 0 };
        let mut second = lease("b", now_us);
        run(&table, &mut second, &mut now_us);
        assert_eq!((now_us, second.token()), (takeover_us, 2), "{name}");
        assert!(second.holds(now_us) && !first.holds(now_us), "{name}");
        first.renew(now_us);
        let ended = run(&table, &mut first, &mut now_us);
        assert_eq!(ended, LeaseStep::Ended(LeaseEnd::Over), "{name}");
    }
}

/// Guards against an expiry that is counted from the wrong version, and against a renewal that
/// changes the token.
#[test]
fn holds_lease_through_renewals() {
    let table = MemoryTable::default();
    let mut first = lease("a", 0);
    let wait_max_us = 60 * SECOND_US;
    let timing = LeaseTiming {
        wait_max_us,
        ..LeaseTiming::default()
    };
    let mut second = Lease::new(timing, "b", "b", 0);
    run(&table, &mut first, &mut 0);
    for round in 1..6 {
        let mut now_us = round * 5 * SECOND_US;
        second.step(now_us);
        second.handle_read(now_us, table.read_now(&row_key("e")));
        first.renew(now_us);
        run(&table, &mut first, &mut now_us);
        assert!(first.holds(now_us), "round {round}");
        assert_eq!((first.token(), second.holds(now_us)), (1, false));
    }
    // The observer first sees the last renewal at 35 s and counts the lease from there.
    let held = run(&table, &mut second, &mut (35 * SECOND_US));
    let until_us = 55 * SECOND_US;
    assert_eq!(held, LeaseStep::Held { until_us });
    assert_eq!(second.token(), 2);
}

/// Guards against a host that takes a lease again right after it had it, and against a token that
/// falls when the row was lost.
#[test]
fn waits_for_earliest_and_exceeds_token() {
    let released = |table: &MemoryTable| {
        let mut first = lease("a", 0);
        run(table, &mut first, &mut 0);
        first.release();
        run(table, &mut first, &mut 0);
    };
    let cases = [("no row", false, 8), ("released", true, 8)];
    for (name, has_row, token) in cases {
        let table = MemoryTable::default();
        if has_row {
            released(&table);
        }
        let mut now_us = SECOND_US;
        let mut second = lease("b", now_us)
            .with_earliest_us(4 * SECOND_US)
            .with_token_above(7);
        run(&table, &mut second, &mut now_us);
        assert!(second.holds(now_us), "{name}");
        assert_eq!((now_us, second.token()), (4 * SECOND_US, token), "{name}");
    }
}

/// Guards against overwriting a row that holds something other than a lease.
#[test]
fn unreadable_row_is_left() {
    let table = MemoryTable::default();
    table
        .write_now(&row_key("e"), Expect::Absent, "{}")
        .unwrap();
    let ended = run(&table, &mut lease("a", 0), &mut 0);
    assert_eq!(ended, LeaseStep::Ended(LeaseEnd::Unreadable));
    let record = Record::parse(&table.read_now(&row_key("e")).unwrap().unwrap().value);
    assert!(record.is_err());
}

/// Guards against a wrong outcome after a fault of the upstream, and against an early release while
/// a command may still arrive.
#[test]
fn outcome_of_a_delivery() {
    use Outcome::{Confirmed, Unconfirmed, Unreachable};
    use SendResult::{Applied, Lost, NotSent, Refused, Stale};
    // Name; results of the sends in order, of which the last one repeats; whether commands take
    // effect; expected outcome, sends and whether the lease is released; seconds that a send and a
    // read after it take.
    type Case<'a> = (
        &'a str,
        &'a [SendResult],
        bool,
        (Outcome, u32, bool),
        [u64; 2],
    );
    let (once, now) = ([Applied], [0, 0]);
    let cases: [Case<'_>; 10] = [
        ("applied", &once, true, (Confirmed, 1, true), now),
        ("answer lost", &[Lost], true, (Confirmed, 1, false), now),
        ("lost", &[Lost], false, (Unconfirmed, 4, false), now),
        ("ignored", &once, false, (Unconfirmed, 4, true), now),
        ("stale", &[Stale], false, (Outcome::Stale, 1, true), now),
        (
            "refused",
            &[Refused],
            false,
            (Outcome::Refused, 1, true),
            now,
        ),
        (
            "then stale",
            &[Lost, Stale],
            false,
            (Unconfirmed, 2, false),
            now,
        ),
        ("not sent", &[NotSent], false, (Unreachable, 0, true), now),
        ("late send", &once, true, (Unconfirmed, 1, false), [10, 0]),
        ("late read", &once, true, (Unconfirmed, 1, true), [0, 10]),
    ];
    for (name, answers, effective, expected, [send_s, read_s]) in cases {
        let table = MemoryTable::default();
        let action = Action::LoadModel("m".to_owned());
        let mut delivery = Delivery::new(lease("a", 0), action);
        let mut state = UpstreamState::default();
        let (mut now_us, mut count) = (0, 0);
        let report = loop {
            match delivery.step(now_us) {
                DeliveryStep::Read => delivery.handle_read(now_us, table.read_now(&row_key("e"))),
                DeliveryStep::Write { expect, record } => {
                    let result = table.write_now(&row_key("e"), expect, &record.to_value());
                    delivery.handle_write(now_us, result);
                }
                DeliveryStep::Wait { until_us } => now_us = until_us,
                DeliveryStep::ReadState => {
                    if count > 0 {
                        now_us += read_s * SECOND_US;
                    }
                    delivery.handle_state(now_us, Some(state.clone()));
                }
                DeliveryStep::Send(command) => {
                    if effective {
                        state.try_apply(&command, true);
                    }
                    now_us += send_s * SECOND_US;
                    delivery.handle_send(now_us, answers[count.min(answers.len() - 1)]);
                    count += 1;
                }
                DeliveryStep::Done(report) => break report,
            }
        };
        let row = table.read_now(&row_key("e")).unwrap().unwrap();
        let released = Record::parse(&row.value).unwrap().released;
        let found = (report.outcome, report.sends, released);
        assert_eq!(found, expected, "{name}");
        assert_eq!(report.late, send_s > 0, "{name}");
    }
}
