//! Tests of an operator's decisions about claims, against an in-memory table.

use store::{Expect, Fault, MemoryTable};

use crate::{Answer, Fingerprint, Record, Settle, SettleOutcome, SettleStep, State, row_key};

const NOW_MS: u64 = 10_000_000;

fn record(state: State) -> Record {
    let fingerprint = Fingerprint::new("POST", "/parts/orders", b"{}");
    Record::new("k", "1", "host", fingerprint).with_state(state)
}

fn done() -> State {
    let content_type = String::new();
    let body = "receipt".to_owned();
    State::Done {
        answer: Answer {
            status: 201,
            content_type,
            body,
        },
    }
}

fn settled(by: &str, ran: bool) -> State {
    State::Settled {
        by: by.to_owned(),
        reason: "asked".to_owned(),
        ran,
        at_unix_ms: 5,
    }
}

/// Settles the claim as "ran" by operator ana. A competing writer stores `rival` just before the
/// first write.
fn run(table: &MemoryTable, faults: &[Option<Fault>], rival: Option<State>) -> SettleOutcome {
    let key = row_key("a", "k");
    let mut settle = Settle::new("ana", "asked", true, NOW_MS, 600_000);
    let (mut step, mut rival, mut faults) = (settle.start(), rival, faults.iter());
    loop {
        if matches!(step, SettleStep::Write { .. })
            && let Some(state) = rival.take()
        {
            let version = table.read_now(&key).unwrap().unwrap().version;
            let value = record(state).to_value();
            table
                .write_now(&key, Expect::Version(version), &value)
                .unwrap();
        }
        table.push_fault(faults.next().copied().flatten());
        step = match step {
            SettleStep::Read { .. } => settle.handle_read(table.read_now(&key)),
            SettleStep::Write { expect, record, .. } => {
                settle.handle_write(table.write_now(&key, expect, &record.to_value()))
            }
            SettleStep::Done(settled) => return settled,
        };
    }
}

/// Guards against a settlement that overwrites an outcome, another decision or the claim of a
/// running call.
#[test]
fn holds_once_settles_only_what_needs_a_decision() {
    let refused = |state: State| SettleOutcome::Conflict(Box::new(record(state)));
    let recent = record(State::Claimed).with_claimed_unix_ms(NOW_MS - 1);
    let in_progress = SettleOutcome::InProgress(Box::new(recent.clone()));
    let (claimed, unknown) = (record(State::Claimed), record(State::Unknown));
    let (same_decision, rival_decision) = (settled("ana", true), settled("bia", false));
    let (other_decision, not_run) = (settled("ana", false), State::NotRun);
    let (holder, operator) = (Some(done()), Some(rival_decision.clone()));
    let cases = [
        ("unknown", unknown.clone(), None, SettleOutcome::Applied),
        ("old", claimed.clone(), None, SettleOutcome::Applied),
        ("recent", recent, None, in_progress),
        ("done", record(done()), None, refused(done())),
        ("not run", record(not_run.clone()), None, refused(not_run)),
        (
            "same decision",
            record(same_decision),
            None,
            SettleOutcome::Applied,
        ),
        (
            "operator",
            record(rival_decision.clone()),
            None,
            refused(rival_decision.clone()),
        ),
        (
            "other decision",
            record(other_decision.clone()),
            None,
            refused(other_decision),
        ),
        ("race with holder", claimed, holder, refused(done())),
        (
            "race with operator",
            unknown,
            operator,
            refused(rival_decision),
        ),
    ];
    for (name, before, rival, expected) in cases {
        let table = MemoryTable::default();
        let key = row_key("a", "k");
        table
            .write_now(&key, Expect::Absent, &before.to_value())
            .unwrap();
        assert_eq!(run(&table, &[], rival.clone()), expected, "{name}");
        let after = Record::parse(&table.read_now(&key).unwrap().unwrap().value).unwrap();
        let is_ours = matches!(&after.state, State::Settled { by, at_unix_ms, .. }
            if by == "ana" && *at_unix_ms == NOW_MS);
        let is_untouched = after == rival.map_or(before, record);
        assert_ne!(is_ours, is_untouched, "{name}: {after:?}");
    }
    assert_eq!(
        run(&MemoryTable::default(), &[], None),
        SettleOutcome::Absent
    );
}

/// Guards against reporting a wrong outcome to the operator after faults of the table service, and
/// against a settlement that can't be repeated.
#[test]
fn holds_once_settlement_through_faults_of_the_store() {
    use Fault::{AnswerLost, Down, RequestLost, Stale};
    let (lost, down) = (Some(AnswerLost), Some(Down));
    let cases: [(&str, &[Option<Fault>], SettleOutcome); 7] = [
        ("answer lost", &[None, lost], SettleOutcome::Applied),
        (
            "request lost",
            &[None, Some(RequestLost)],
            SettleOutcome::Applied,
        ),
        ("stale", &[None, lost, Some(Stale)], SettleOutcome::Applied),
        ("down once", &[None, down], SettleOutcome::Applied),
        ("down", &[down; 9], SettleOutcome::Down),
        (
            "down to write",
            &[None, down, down, down, down],
            SettleOutcome::Down,
        ),
        (
            "unknown",
            &[None, lost, down, down, down],
            SettleOutcome::Unknown,
        ),
    ];
    for (name, faults, expected) in cases {
        let table = MemoryTable::default();
        let value = record(State::Unknown).to_value();
        let key = row_key("a", "k");
        table.write_now(&key, Expect::Absent, &value).unwrap();
        assert_eq!(run(&table, faults, None), expected, "{name}");
        table.push_fault(None);
        assert_eq!(
            run(&table, &[], None),
            SettleOutcome::Applied,
            "{name}, again"
        );
    }
}
