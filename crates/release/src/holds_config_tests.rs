//! Model-based test of releases: operators apply notes and followers adopt the versions, over one
//! table with faults. The oracle is the history of the row `release/current`.

use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use settings::{Class, Config};
use store::{Expect, MemoryTable, Row, StoreError};

use crate::{
    Apply, CURRENT_KEY, Change, ConfigList, CurrentRelease, Note, OfferOutcome, Outcome, Record,
    RecordCompletion, Step, StoredRow, TableAnswer, TableCall, Tracker, record_key,
};

const OPERATORS: usize = 3;
const FOLLOWERS: usize = 2;

/// Fault of one call of the table.
#[derive(Debug, Clone, Copy)]
enum Fault {
    None,
    Down,
    AnswerLost,
    RequestLost,
    /// The answer is lost; a write reaches the table only at a later `DeliverDelayed`.
    Delayed,
    /// A read of `release/current` returns the row as it was this many writes ago.
    Stale(usize),
}

#[derive(Debug, Clone)]
enum Transition {
    /// An operator starts to apply a note whose base is this many versions behind the newest.
    Begin { operator: usize, behind: usize },
    /// An operator's program makes its next call.
    Advance { operator: usize, fault: Fault },
    /// An operator's program is killed and started again with the same attempt ID.
    Restart { operator: usize },
    /// The oldest delayed write reaches the table.
    DeliverDelayed,
    /// A follower reads `release/current`.
    Poll { follower: usize, fault: Fault },
    /// A follower reads the record of the next version.
    ReadRecord { follower: usize, fault: Fault },
    /// A follower passes the value of `release/current` that it read last to the others.
    Gossip { follower: usize },
    /// A reader of the history writes the record of the last release to its row, if it is missing.
    Complete { fault: Fault },
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        6 => Just(Fault::None),
        1 => Just(Fault::Down),
        1 => Just(Fault::AnswerLost),
        1 => Just(Fault::RequestLost),
        1 => Just(Fault::Delayed),
        1 => (1_usize..4).prop_map(Fault::Stale),
    ]
}

/// Reference model without state: the history of the table is the oracle.
struct Reference;

impl ReferenceStateMachine for Reference {
    type State = ();
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Self::State> {
        Just(()).boxed()
    }

    fn transitions((): &Self::State) -> BoxedStrategy<Self::Transition> {
        let operator = 0..OPERATORS;
        let follower = 0..FOLLOWERS;
        prop_oneof![
            4 => (operator.clone(), 0_usize..2)
                .prop_map(|(operator, behind)| Transition::Begin { operator, behind }),
            16 => (operator.clone(), fault())
                .prop_map(|(operator, fault)| Transition::Advance { operator, fault }),
            1 => operator.prop_map(|operator| Transition::Restart { operator }),
            2 => Just(Transition::DeliverDelayed),
            3 => (follower.clone(), fault())
                .prop_map(|(follower, fault)| Transition::Poll { follower, fault }),
            3 => (follower.clone(), fault())
                .prop_map(|(follower, fault)| Transition::ReadRecord { follower, fault }),
            1 => follower.prop_map(|follower| Transition::Gossip { follower }),
            1 => fault().prop_map(|fault| Transition::Complete { fault }),
        ]
        .boxed()
    }

    fn apply((): Self::State, _: &Self::Transition) -> Self::State {}
}

struct Operator {
    apply: Apply,
    note: Note,
    attempt: String,
    /// Outcome reported to the operator; `None` while the change is open.
    reported: Option<Outcome>,
}

#[derive(Default)]
struct Follower {
    tracker: Tracker,
    config: Config,
    last_read: Option<String>,
}

#[derive(Default)]
struct Fleet {
    table: MemoryTable,
    /// Every value that `release/current` ever had, oldest first.
    history: Vec<(Row, CurrentRelease)>,
    /// Writes that have not reached the table yet, oldest first.
    delayed: Vec<TableCall>,
    operators: Vec<Option<Operator>>,
    /// Attempts whose operator was told that the change is not in force.
    refused: Vec<String>,
    followers: Vec<Follower>,
    attempts: u32,
}

impl Fleet {
    /// Returns the value of `release/current` at this version.
    fn release_at(&self, version: u64) -> Option<CurrentRelease> {
        let index = usize::try_from(version).ok()?.checked_sub(1)?;
        Some(self.history.get(index)?.1.clone())
    }

    /// Returns a note that changes a field from the value that the base version gave it.
    fn note(&self, base: u64, number: u32) -> Note {
        let mut note = Note {
            base,
            author: "ana".to_owned(),
            reason: "test".to_owned(),
            ..Note::default()
        };
        let Some(current) = self.release_at(base) else {
            note.added.classes = vec![Class {
                name: "shared".to_owned(),
                tier: 0,
                first_token_ms: 790,
                token_gap_ms: 33,
                max_wait_ms: u64::from(number),
                reserved_percent: 0,
            }];
            return note;
        };
        note.changed = vec![Change {
            list: ConfigList::Classes,
            name: "shared".to_owned(),
            field: "max_wait_ms".to_owned(),
            before: current.config.classes[0].max_wait_ms.into(),
            after: number.into(),
        }];
        note
    }

    fn begin(&mut self, index: usize, behind: usize) {
        // An operator finishes an open change before the next one.
        let open = self.operators[index].as_ref();
        if open.is_some_and(|operator| operator.reported.is_none()) {
            return;
        }
        self.attempts += 1;
        let base = self.history.len().saturating_sub(behind) as u64;
        let note = self.note(base, self.attempts);
        let attempt = format!("attempt-{}", self.attempts);
        let apply = Apply::new(note.clone(), attempt.clone(), 0);
        let reported = None;
        self.operators[index] = Some(Operator {
            apply,
            note,
            attempt,
            reported,
        });
    }

    fn restart(&mut self, index: usize) {
        if let Some(operator) = &mut self.operators[index] {
            let (note, attempt) = (operator.note.clone(), operator.attempt.clone());
            operator.apply = Apply::new(note, attempt, 1).resumed();
            // A repeat may succeed if nothing was applied, but never after a conflict.
            if matches!(
                operator.reported,
                Some(Outcome::Down | Outcome::Mismatch(_))
            ) {
                self.refused.retain(|refused| *refused != operator.attempt);
            }
            operator.reported = None;
        }
    }

    fn advance(&mut self, index: usize, fault: Fault) {
        let Some(operator) = &self.operators[index] else {
            return;
        };
        let Step::Call(call) = operator.apply.step() else {
            return;
        };
        let answer = self.call(&call, fault);
        let operator = self.operators[index].as_mut().unwrap();
        operator.apply.handle_answer(answer);
        if let Step::Done(outcome) = operator.apply.step() {
            self.check_outcome(index, outcome);
        }
    }

    /// Checks the outcome that an operator is told against the history.
    fn check_outcome(&mut self, index: usize, outcome: Outcome) {
        let operator = self.operators[index].as_ref().unwrap();
        let (attempt, base) = (operator.attempt.clone(), operator.note.base);
        match &outcome {
            Outcome::Applied { version, .. } => {
                assert_eq!(*version, base + 1);
                let current = self
                    .release_at(*version)
                    .expect("applied, not in the table");
                assert!(
                    current.attempt() == Some(&attempt),
                    "not the change of this attempt"
                );
            }
            Outcome::Conflict { version } => {
                let winner = self.release_at(base + 1).expect("a conflict has a winner");
                assert!(
                    winner.attempt() != Some(&attempt),
                    "the change of this attempt was the winner"
                );
                assert!(*version > base);
                self.refused.push(attempt);
            }
            Outcome::Mismatch(_) | Outcome::Down => self.refused.push(attempt),
            Outcome::Unreadable(message) => panic!("{message}"),
            // The operator runs the same attempt again.
            Outcome::Unknown => return self.restart(index),
        }
        self.operators[index].as_mut().unwrap().reported = Some(outcome);
    }

    fn call(&mut self, call: &TableCall, fault: Fault) -> TableAnswer {
        match (fault, call) {
            (Fault::Down, _) => TableAnswer::Down,
            (Fault::RequestLost, _) => TableAnswer::Unknown,
            (Fault::Delayed, TableCall::Write { .. }) => {
                self.delayed.push(call.clone());
                TableAnswer::Unknown
            }
            (Fault::AnswerLost | Fault::Delayed, _) => {
                self.run(call);
                TableAnswer::Unknown
            }
            (Fault::Stale(writes), TableCall::Read { key }) if key == CURRENT_KEY => {
                let index = self.history.len().checked_sub(writes + 1);
                TableAnswer::Row(index.map(|index| stored(self.history[index].0.clone())))
            }
            (Fault::None | Fault::Stale(_), _) => self.run(call),
        }
    }

    fn run(&mut self, call: &TableCall) -> TableAnswer {
        match call {
            TableCall::Read { key } => {
                TableAnswer::Row(self.table.read_now(key).unwrap().map(stored))
            }
            TableCall::Write { key, expect, value } => {
                let expect = expect.map_or(Expect::Absent, Expect::Version);
                let result = self.table.write_now(key, expect, value);
                if key == CURRENT_KEY && result.is_ok() {
                    let row = self.table.read_now(CURRENT_KEY).unwrap().unwrap();
                    let current = CurrentRelease::from_text(&row.value).unwrap();
                    self.history.push((row, current));
                }
                match result {
                    Ok(_) => TableAnswer::Written,
                    Err(StoreError::Conflict(row)) => TableAnswer::Conflict(row.map(stored)),
                    Err(_) => unreachable!("faults are injected by the test"),
                }
            }
        }
    }

    fn poll(&mut self, index: usize, fault: Fault) {
        let call = TableCall::Read {
            key: CURRENT_KEY.to_owned(),
        };
        if let TableAnswer::Row(Some(row)) = self.call(&call, fault) {
            self.followers[index].last_read = Some(row.value.clone());
            self.offer(index, &row.value);
        }
    }

    fn read_record(&mut self, index: usize, fault: Fault) {
        let key = record_key(self.followers[index].tracker.version() + 1);
        if let TableAnswer::Row(Some(row)) = self.call(&TableCall::Read { key }, fault) {
            let Follower {
                tracker, config, ..
            } = &mut self.followers[index];
            let outcome = tracker.offer_record(0, config, &row.value);
            self.adopt(index, outcome);
        }
    }

    fn offer(&mut self, index: usize, value: &str) {
        let outcome = self.followers[index].tracker.offer(0, value);
        self.adopt(index, outcome);
    }

    fn adopt(&mut self, index: usize, outcome: OfferOutcome) {
        let follower = &mut self.followers[index];
        match outcome {
            OfferOutcome::Newer(config) => {
                assert!(
                    config.version > follower.config.version,
                    "a follower went back"
                );
                follower.config = config;
            }
            OfferOutcome::Faulty(message) => panic!("{message}"),
            OfferOutcome::Same | OfferOutcome::Older => {
                assert_eq!(follower.tracker.version(), follower.config.version);
            }
        }
    }

    fn gossip(&mut self, from: usize) {
        if let Some(value) = self.followers[from].last_read.clone() {
            for index in 0..FOLLOWERS {
                self.offer(index, &value);
            }
        }
    }

    fn complete(&mut self, fault: Fault) {
        let Some((_, current)) = self.history.last() else {
            return;
        };
        let mut complete = RecordCompletion::new(current);
        while let Some(call) = complete.call() {
            let answer = self.call(&call, fault);
            complete.handle_answer(&answer);
        }
    }

    /// Checks the invariants that hold after every transition.
    fn check(&self) {
        let mut attempts = Vec::new();
        for version in 1..=self.history.len() as u64 {
            let current = self.release_at(version).unwrap();
            assert_eq!(current.config.version, version, "versions go up by one");
            let record = current.record.expect("a release has a record");
            assert!(
                !attempts.contains(&record.attempt),
                "a change was applied twice"
            );
            assert!(
                !self.refused.contains(&record.attempt),
                "a refused change is in force"
            );
            attempts.push(record.attempt.clone());
            let is_last = version == self.history.len() as u64;
            match self.table.read_now(&record_key(version)).unwrap() {
                Some(row) => assert_eq!(Record::from_text(&row.value).unwrap(), record),
                None => assert!(is_last, "the record of version {version} is lost"),
            }
        }
        for follower in &self.followers {
            let version = follower.tracker.version();
            assert_eq!(follower.config.version, version);
            if let Some(current) = self.release_at(version) {
                assert_eq!(follower.config, current.config, "not what was accepted");
                assert_eq!(follower.tracker.digest(), current.config.digest());
            }
        }
    }

    /// Finishes all delayed writes and open changes without faults, and checks that every follower
    /// has the newest version and every version has its record.
    fn finish_all(&mut self) {
        while !self.delayed.is_empty() {
            self.deliver_delayed();
        }
        for index in 0..OPERATORS {
            for _ in 0..100 {
                self.advance(index, Fault::None);
            }
            let open = self.operators[index].as_ref();
            assert!(
                open.is_none_or(|operator| operator.reported.is_some()),
                "a change never ends"
            );
        }
        self.complete(Fault::None);
        for index in 0..FOLLOWERS {
            self.poll(index, Fault::None);
            let version = self.followers[index].tracker.version();
            assert_eq!(
                version,
                self.history.len() as u64,
                "not in force everywhere"
            );
        }
        for version in 1..=self.history.len() as u64 {
            assert!(self.table.read_now(&record_key(version)).unwrap().is_some());
        }
    }

    fn deliver_delayed(&mut self) {
        if !self.delayed.is_empty() {
            let call = self.delayed.remove(0);
            self.run(&call);
        }
    }
}

fn stored(row: Row) -> StoredRow {
    StoredRow {
        version: row.version,
        value: row.value,
    }
}

struct Releases;

impl StateMachineTest for Releases {
    type SystemUnderTest = Fleet;
    type Reference = Reference;

    fn init_test((): &()) -> Fleet {
        Fleet {
            operators: (0..OPERATORS).map(|_| None).collect(),
            followers: (0..FOLLOWERS).map(|_| Follower::default()).collect(),
            ..Fleet::default()
        }
    }

    fn apply(mut fleet: Fleet, (): &(), transition: Transition) -> Fleet {
        match transition {
            Transition::Begin { operator, behind } => fleet.begin(operator, behind),
            Transition::Advance { operator, fault } => fleet.advance(operator, fault),
            Transition::Restart { operator } => fleet.restart(operator),
            Transition::DeliverDelayed => fleet.deliver_delayed(),
            Transition::Poll { follower, fault } => fleet.poll(follower, fault),
            Transition::ReadRecord { follower, fault } => fleet.read_record(follower, fault),
            Transition::Gossip { follower } => fleet.gossip(follower),
            Transition::Complete { fault } => fleet.complete(fault),
        }
        fleet
    }

    fn check_invariants(fleet: &Fleet, (): &()) {
        fleet.check();
    }

    fn teardown(mut fleet: Fleet, (): ()) {
        fleet.finish_all();
        fleet.check();
    }
}

prop_state_machine! {
    /// Guards against a version that goes back, two winners of one race, a change that is lost or
    /// applied twice, a wrong outcome told to an operator, and a lost audit record.
    #[test]
    fn holds_config_with_racing_operators_and_faults(sequential 1..120 => Releases);
}
