use store::{Expect, Fault, MemoryTable};

use crate::{Answer, Fingerprint, Record, Settle, SettleStep, Settled, State, row_key};

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

/// Settles as "ana: ran"; a competing write hits the row before the write with this index.
fn run(table: &MemoryTable, faults: &[Option<Fault>], rival: Option<State>) -> Settled {
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
            SettleStep::Read { .. } => settle.read(table.read_now(&key)),
            SettleStep::Write { expect, record, .. } => {
                settle.written(table.write_now(&key, expect, &record.to_value()))
            }
            SettleStep::Done(settled) => return settled,
        };
    }
}

/// Guards against a settlement that overwrites an outcome, another decision or a running call.
#[test]
fn holds_once_settles_only_what_needs_a_decision() {
    let conflict = |state: State| Settled::Conflict(Box::new(record(state)));
    let young = record(State::Claimed).with_claimed_unix_ms(NOW_MS - 1);
    let (unknown, claimed) = (State::Unknown, State::Claimed);
    let cases = [
        ("unknown", record(unknown.clone()), None, Settled::Applied),
        ("old claim", record(claimed.clone()), None, Settled::Applied),
        (
            "young claim",
            young.clone(),
            None,
            Settled::InProgress(Box::new(young)),
        ),
        ("done", record(done()), None, conflict(done())),
        (
            "not run",
            record(State::NotRun),
            None,
            conflict(State::NotRun),
        ),
        (
            "same decision",
            record(settled("ana", true)),
            None,
            Settled::Applied,
        ),
        (
            "other operator",
            record(settled("bia", true)),
            None,
            conflict(settled("bia", true)),
        ),
        (
            "other word",
            record(settled("ana", false)),
            None,
            conflict(settled("ana", false)),
        ),
        (
            "race with the holder",
            record(claimed),
            Some(done()),
            conflict(done()),
        ),
        (
            "race with an operator",
            record(unknown),
            Some(settled("bia", false)),
            conflict(settled("bia", false)),
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
    assert_eq!(run(&MemoryTable::default(), &[], None), Settled::Absent);
}

/// Guards against a wrong statement about a settlement whose answer was lost.
#[test]
fn holds_once_settlement_through_faults_of_the_store() {
    use Fault::{AnswerLost, Down, RequestLost, Stale};
    let lost = Some(AnswerLost);
    let cases: [(&str, &[Option<Fault>], Settled); 7] = [
        ("answer lost", &[None, lost], Settled::Applied),
        ("request lost", &[None, Some(RequestLost)], Settled::Applied),
        ("stale", &[None, lost, Some(Stale)], Settled::Applied),
        ("down once", &[None, Some(Down)], Settled::Applied),
        ("down", &[Some(Down); 9], Settled::Down),
        (
            "down at the write",
            &[None, Some(Down), Some(Down), Some(Down), Some(Down)],
            Settled::Down,
        ),
        (
            "lost, then down",
            &[None, lost, Some(Down), Some(Down), Some(Down)],
            Settled::Unknown,
        ),
    ];
    for (name, faults, expected) in cases {
        let table = MemoryTable::default();
        let value = record(State::Unknown).to_value();
        let key = row_key("a", "k");
        table.write_now(&key, Expect::Absent, &value).unwrap();
        assert_eq!(run(&table, faults, None), expected, "{name}");
        table.push_fault(None);
        assert_eq!(run(&table, &[], None), Settled::Applied, "{name}, again");
    }
}
