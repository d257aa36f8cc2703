//! Tests of claims against an in-memory table, and of key parsing.

use code::{Code, Run};
use store::{Expect, Fault, MemoryTable};

use crate::{
    Answer, CallResult, Claim, ClaimStep, Fingerprint, Record, Reply, State, parse_key, row_key,
};

fn record(attempt: &str, body: &str) -> Record {
    let fingerprint = Fingerprint::new("POST", "/inventory/reservations", body.as_bytes());
    Record::new("r-1", attempt, "entry-1", fingerprint).with_claimed_unix_ms(1_000)
}

fn answer(body: &str) -> Answer {
    Answer {
        status: 201,
        content_type: "application/json".to_owned(),
        body: body.to_owned(),
    }
}

/// Drives a claim against a table; returns the reply and how often the call was sent.
fn drive(table: &MemoryTable, attempt: &str, body: &str, sent: &CallResult) -> (Reply, u32) {
    let mut claim = Claim::new(record(attempt, body), 2_000, 15_000);
    let key = row_key("member-a", "r-1");
    let mut next = claim.start();
    let mut sends = 0;
    loop {
        next = match next {
            ClaimStep::Write { expect, record, .. } => {
                claim.handle_write(table.write_now(&key, expect, &record.to_value()))
            }
            ClaimStep::Read { .. } => claim.handle_read(table.read_now(&key)),
            ClaimStep::Send => {
                sends += 1;
                claim.handle_send(sent.clone())
            }
            ClaimStep::Finish(reply) => return (reply, sends),
        };
    }
}

/// Guards against a second run, and against a refusal that says wrongly whether the call ran, for
/// each single fault of the table service during the first call.
#[test]
fn holds_once_under_each_store_fault() {
    let done = CallResult::Answered(answer("1"));
    let cases: [(&str, &[Option<Fault>], Reply, u32); 7] = [
        ("no fault", &[], Reply::Answer(answer("1")), 1),
        (
            "down",
            &[Some(Fault::Down)],
            Reply::Refuse(Code::ClaimStoreDown),
            0,
        ),
        (
            "claim answer lost",
            &[Some(Fault::AnswerLost)],
            Reply::Answer(answer("1")),
            1,
        ),
        (
            "claim lost",
            &[Some(Fault::RequestLost)],
            Reply::Answer(answer("1")),
            1,
        ),
        (
            "outcome answer lost",
            &[None, Some(Fault::AnswerLost)],
            Reply::Answer(answer("1")),
            1,
        ),
        (
            "outcome lost",
            &[None, Some(Fault::RequestLost)],
            Reply::Answer(answer("1")),
            1,
        ),
        (
            "claim lost and read lost",
            &[Some(Fault::AnswerLost), Some(Fault::AnswerLost)],
            Reply::Answer(answer("1")),
            1,
        ),
    ];
    for (name, faults, reply, sends) in cases {
        let table = MemoryTable::default();
        for &fault in faults {
            table.push_fault(fault);
        }
        assert_eq!(drive(&table, "a", "x", &done), (reply, sends), "{name}");
        let (repeat, sends_again) = drive(&table, "b", "x", &done);
        assert_eq!(sends + sends_again, 1, "{name}: {repeat:?}");
    }
}

/// Guards against a repeat that runs the call again or does not get the recorded outcome.
#[test]
fn holds_once_for_repeats_of_each_outcome() {
    let cases = [
        (
            "answered",
            CallResult::Answered(answer("1")),
            Reply::Replay(answer("1")),
            0,
        ),
        ("lost", CallResult::Lost, Reply::Refuse(Code::MayHaveRun), 0),
        (
            "not sent",
            CallResult::NotSent(Code::ConnectFailed),
            Reply::Answer(answer("2")),
            1,
        ),
    ];
    for (name, first, expected, sends) in cases {
        let table = MemoryTable::default();
        drive(&table, "a", "x", &first);
        let repeat = drive(&table, "b", "x", &CallResult::Answered(answer("2")));
        assert_eq!(repeat, (expected, sends), "{name}");
    }
}

/// Guards against accepting an idempotency key that was used for another request.
#[test]
fn another_body_with_the_same_key_is_refused() {
    let table = MemoryTable::default();
    let done = CallResult::Answered(answer("1"));
    drive(&table, "a", "x", &done);
    assert_eq!(
        drive(&table, "b", "y", &done),
        (Reply::Refuse(Code::KeyReused), 0)
    );
}

/// Guards against taking over the claim of a stopped host, and against telling the caller that its
/// call did not run.
#[test]
fn holds_once_for_a_claim_of_a_stopped_host() {
    for (now_unix_ms, code) in [(2_000, Code::InProgress), (60_000, Code::MayHaveRun)] {
        let table = MemoryTable::default();
        let key = row_key("member-a", "r-1");
        table
            .write_now(&key, Expect::Absent, &record("a", "x").to_value())
            .unwrap();
        let mut claim = Claim::new(record("b", "x"), now_unix_ms, 15_000);
        let ClaimStep::Write { expect, record, .. } = claim.start() else {
            panic!("a write")
        };
        let next = claim.handle_write(table.write_now(&key, expect, &record.to_value()));
        assert_eq!(next, ClaimStep::Finish(Reply::Refuse(code)));
        assert_eq!(code.run(), Run::Unknown);
    }
}

/// Guards against a repeat that ignores an operator's decision: only a call that the operator
/// settled as not run may run again.
#[test]
fn settled_claims_follow_the_operator() {
    for (ran, expected) in [
        (true, (Reply::Refuse(Code::MayHaveRun), 0)),
        (false, (Reply::Answer(answer("2")), 1)),
    ] {
        let table = MemoryTable::default();
        let state = State::Settled {
            by: "ana".to_owned(),
            reason: "asked the member".to_owned(),
            ran,
            at_unix_ms: 5_000,
        };
        let settled = record("a", "x").with_state(state);
        let key = row_key("member-a", "r-1");
        table
            .write_now(&key, Expect::Absent, &settled.to_value())
            .unwrap();
        assert_eq!(
            drive(&table, "b", "x", &CallResult::Answered(answer("2"))),
            expected
        );
    }
}

/// Guards against accepting empty, too long or malformed idempotency keys.
#[test]
fn keys_are_parsed() {
    let long = "k".repeat(256);
    let cases = [
        ("\"r-1\"", Some("r-1")),
        (" r-1 ", Some("r-1")),
        ("", None),
        ("\"\"", None),
        ("\"r-1", None),
        ("r 1", None),
        (long.as_str(), None),
    ];
    for (value, key) in cases {
        assert_eq!(parse_key(value), key, "{value}");
    }
}
