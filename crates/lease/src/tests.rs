//! Tests of leases and deliveries with faults of the store and of the upstream.

use store::{Expect, Fault, MemoryTable, StoreVersion, TableCopy};

use crate::{
    Action, Delivery, DeliveryStep, Lease, LeaseEnd, LeaseStep, LeaseTiming, Outcome, Record,
    SendResult, UpstreamState, row_key,
};

const SECOND_US: u64 = 1_000_000;

/// Carries out the steps of a lease until it is held or has ended.
fn run(table: &MemoryTable, lease: &mut Lease, now_us: &mut u64) -> LeaseStep {
    loop {
        match lease.step(*now_us) {
            LeaseStep::Read => {
                let row = table.read_now(&row_key("e"));
                lease.see_era(*now_us, table.era_now());
                lease.handle_read(*now_us, row);
            }
            LeaseStep::Write { expect, record } => {
                let result = table.write_now(&row_key("e"), expect, &record.to_value());
                lease.see_era(*now_us, table.era_now());
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

/// Copies of the table from which it comes back: without the row, with a lease that was released
/// before, and with the present one before its last renewals.
fn copies(table: &MemoryTable, first: &mut Lease) -> [(&'static str, TableCopy); 3] {
    let absent = table.copy();
    let mut earlier = lease("earlier", 0);
    run(table, &mut earlier, &mut 0);
    earlier.release();
    run(table, &mut earlier, &mut 0);
    let released = table.copy();
    run(table, first, &mut 0);
    let held = table.copy();
    for _ in 0..3 {
        first.renew(0);
        run(table, first, &mut 0);
    }
    [("absent", absent), ("released", released), ("held", held)]
}

/// Guards against a lease that ends because the store came back from an older copy, whose versions
/// are lower or name another row.
#[test]
fn holder_keeps_lease_when_the_store_comes_back_from_a_copy() {
    for (index, is_told) in (0..3).flat_map(|index| [(index, false), (index, true)]) {
        let table = MemoryTable::default();
        let mut first = lease("a", 0);
        let (name, copy) = copies(&table, &mut first)[index].clone();
        table.restore(&copy);
        for round in 1..=4 {
            let mut now_us = round * 5 * SECOND_US;
            // Another call of the process may tell the era before the renewal does.
            if is_told {
                first.see_era(now_us, table.era_now());
            }
            first.renew(now_us);
            run(&table, &mut first, &mut now_us);
            assert!(
                first.holds(now_us + 8 * SECOND_US),
                "{name}, told {is_told}, round {round}"
            );
        }
        let row = table.read_now(&row_key("e")).unwrap().unwrap();
        assert_eq!(Record::parse(&row.value).unwrap().attempt, "a", "{name}");
    }
}

/// Guards against a lease that is acquired while the holder of before a restore still has it, against
/// one that is never acquired again, and against a token that was used before.
#[test]
fn restored_row_frees_no_lease_before_its_length_has_passed() {
    for is_watching in [false, true] {
        for index in 0..3 {
            let table = MemoryTable::default();
            let mut first = lease("a", 0);
            let (name, copy) = copies(&table, &mut first)[index].clone();
            let mut second = lease("b", 0);
            if is_watching {
                second.handle_read(0, table.read_now(&row_key("e")));
            }
            table.restore(&copy);
            let mut now_us = SECOND_US;
            run(&table, &mut second, &mut now_us);
            let name = format!("{name}, watching {is_watching}");
            assert!(second.holds(now_us), "{name}");
            // Its length of 10 s and a clock error of 1 s, from 1 s on, when the new era is seen.
            assert_eq!(now_us, 12 * SECOND_US, "{name}");
            assert!(second.token() > first.token(), "{name}");
            assert!(!first.holds(now_us), "{name}");
        }
    }
}

/// Guards against an acquisition or renewal that counts although its condition held for the row of
/// another era.
#[test]
fn write_that_meets_another_era_gives_no_lease() {
    // The number that the acquisition expects is given out again to another holder.
    let table = MemoryTable::default();
    let mut earlier = lease("earlier", 0);
    run(&table, &mut earlier, &mut 0);
    earlier.release();
    run(&table, &mut earlier, &mut 0);
    let copy = table.copy();
    let mut second = lease("b", 0);
    second.handle_read(0, table.read_now(&row_key("e")));
    let LeaseStep::Write { expect, record } = second.step(0) else {
        panic!("no write");
    };
    // Another host holds the lease in the time between, and its write is lost.
    let mut first = lease("a", 0);
    run(&table, &mut first, &mut 0);
    table.restore(&copy);
    table.push_fault(Some(Fault::EraUnknown));
    let written = table.write_now(&row_key("e"), expect, &record.to_value());
    assert_eq!(written, Err(store::StoreError::Unknown));
    second.see_era(0, table.era_now());
    second.handle_write(0, written);
    let mut now_us = 50_000;
    assert_eq!(second.step(now_us), LeaseStep::Read);
    second.handle_read(now_us, table.read_now(&row_key("e")));
    assert!(first.holds(now_us) && !second.holds(now_us));
    // The holder writes its record again, and the other one finds it.
    first.renew(now_us);
    run(&table, &mut first, &mut now_us);
    assert!(first.holds(9 * SECOND_US));
    let row = table.read_now(&row_key("e")).unwrap().unwrap();
    let version = StoreVersion::new(1, row.version.number);
    assert_eq!(row.version, version);
    assert_eq!(Record::parse(&row.value).unwrap().attempt, "a");
}

/// Guards against a host that can't stop in time, because it repeats a release whose condition is of
/// an earlier era.
#[test]
fn release_over_a_restore_ends_at_once() {
    for index in 0..3 {
        let table = MemoryTable::default();
        let mut first = lease("a", 0);
        let (name, copy) = copies(&table, &mut first)[index].clone();
        table.restore(&copy);
        first.release();
        let mut now_us = 0;
        let ended = run(&table, &mut first, &mut now_us);
        assert_eq!(
            (ended, now_us),
            (LeaseStep::Ended(LeaseEnd::Over), 0),
            "{name}"
        );
    }
}
