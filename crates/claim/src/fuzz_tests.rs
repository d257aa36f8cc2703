//! Model-based test of at-most-once execution: several hosts claim the same key in a table with
//! faults, and their steps interleave in random order.

use code::Run;
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use store::{Fault, MemoryTable};

use crate::{Answer, CallResult, Claim, ClaimStep, Fingerprint, Record, Reply, row_key};

const HOSTS: usize = 3;

#[derive(Debug, Clone)]
enum Transition {
    /// The host begins a new call with the key, unless it has one already.
    Begin { host: usize },
    /// The host takes its next step; the fault applies to its table operation, if there is one.
    Step {
        host: usize,
        fault: Option<Fault>,
        outcome: SendOutcome,
    },
    /// The host process is killed at this point and started again without its call.
    Restart { host: usize },
}

/// What happens to a call that is sent to the upstream.
#[derive(Debug, Clone, Copy)]
enum SendOutcome {
    Answered,
    NotSent,
    LostBeforeRun,
    LostAfterRun,
}

/// Reference model without state: the invariant, at most one run, needs nothing to compare with.
#[derive(Debug, Clone, Default)]
struct Reference;

impl ReferenceStateMachine for Reference {
    type State = Self;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self).boxed()
    }

    fn transitions(_state: &Self) -> BoxedStrategy<Transition> {
        let fault = prop_oneof![
            4 => Just(None),
            1 => Just(Some(Fault::Down)),
            1 => Just(Some(Fault::AnswerLost)),
            1 => Just(Some(Fault::RequestLost)),
            1 => Just(Some(Fault::Stale)),
        ];
        let outcome = prop_oneof![
            Just(SendOutcome::Answered),
            Just(SendOutcome::NotSent),
            Just(SendOutcome::LostBeforeRun),
            Just(SendOutcome::LostAfterRun),
        ];
        prop_oneof![
            2 => (0..HOSTS).prop_map(|host| Transition::Begin { host }),
            8 => (0..HOSTS, fault, outcome)
                .prop_map(|(host, fault, outcome)| Transition::Step { host, fault, outcome }),
            1 => (0..HOSTS).prop_map(|host| Transition::Restart { host }),
        ]
        .boxed()
    }

    fn apply(state: Self, _transition: &Transition) -> Self {
        state
    }
}

/// Call in progress on a host.
struct Call {
    claim: Claim,
    next: ClaimStep,
    /// Whether the call got as far as being sent to the upstream.
    sent: bool,
}

#[derive(Default)]
struct System {
    table: MemoryTable,
    calls: [Option<Call>; HOSTS],
    /// Number of calls begun by all hosts.
    attempts: u32,
    /// Body of the upstream's answer for each run, also if the answer was lost.
    runs: Vec<String>,
}

impl System {
    fn begin(&mut self, host: usize) {
        if self.calls[host].is_some() {
            return;
        }
        self.attempts += 1;
        let fingerprint = Fingerprint::new("POST", "/orders", b"x");
        let record = Record::new("k", &self.attempts.to_string(), "host", fingerprint);
        let mut claim = Claim::new(record, 0, 1_000);
        let next = claim.start();
        let sent = false;
        self.calls[host] = Some(Call { claim, next, sent });
    }

    fn step(&mut self, host: usize, fault: Option<Fault>, outcome: SendOutcome) {
        let Some(mut call) = self.calls[host].take() else {
            return;
        };
        let key = row_key("account", "k");
        self.table.push_fault(fault);
        let next = match call.next {
            ClaimStep::Write { expect, record, .. } => {
                let result = self.table.write_now(&key, expect, &record.to_value());
                call.claim.handle_write(result)
            }
            ClaimStep::Read { .. } => call.claim.handle_read(self.table.read_now(&key)),
            ClaimStep::Send => {
                call.sent = true;
                let result = self.send(outcome);
                // Sending doesn't use the table: consume the fault, so that it does not hit
                // another host's table operation.
                let _ = self.table.read_now(&key);
                call.claim.handle_send(result)
            }
            ClaimStep::Finish(_) => unreachable!("a finished call is dropped"),
        };
        if let ClaimStep::Finish(reply) = &next {
            self.check(reply, call.sent);
            return;
        }
        call.next = next;
        self.calls[host] = Some(call);
    }

    fn send(&mut self, outcome: SendOutcome) -> CallResult {
        let body = self.attempts.to_string();
        match outcome {
            SendOutcome::NotSent => CallResult::NotSent(code::Code::ConnectFailed),
            SendOutcome::LostBeforeRun => CallResult::Lost,
            SendOutcome::LostAfterRun => {
                self.runs.push(body);
                CallResult::Lost
            }
            SendOutcome::Answered => {
                self.runs.push(body.clone());
                let content_type = String::new();
                CallResult::Answered(Answer {
                    status: 201,
                    content_type,
                    body,
                })
            }
        }
    }

    /// Checks that an answer is that of the only run, and that a refusal which denies a run is
    /// true.
    fn check(&self, reply: &Reply, sent: bool) {
        match reply {
            Reply::Answer(answer) | Reply::Replay(answer) => {
                assert_eq!(self.runs.as_slice(), std::slice::from_ref(&answer.body));
            }
            Reply::Refuse(code) if code.run() == Run::No && !sent => {}
            Reply::Refuse(code) if code.run() == Run::No => {
                assert_eq!(
                    *code,
                    code::Code::ConnectFailed,
                    "only an unsent call was not run"
                );
            }
            Reply::Refuse(_) => {}
        }
    }
}

struct Test;

impl StateMachineTest for Test {
    type SystemUnderTest = System;
    type Reference = Reference;

    fn init_test(_reference: &Reference) -> System {
        System::default()
    }

    fn apply(mut system: System, _reference: &Reference, transition: Transition) -> System {
        match transition {
            Transition::Begin { host } => system.begin(host),
            Transition::Step {
                host,
                fault,
                outcome,
            } => system.step(host, fault, outcome),
            Transition::Restart { host } => system.calls[host] = None,
        }
        system
    }

    fn check_invariants(system: &System, _reference: &Reference) {
        assert!(system.runs.len() <= 1, "ran {} times", system.runs.len());
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]
    /// Guards against running one key twice under random interleavings of hosts, restarts and
    /// faults of the table service.
    #[test]
    fn holds_once_for_racing_hosts(sequential 1..60 => Test);
}
