//! Fuzz test of the pool against a reference model that counts slots.

use proptest::{prelude::*, sample::Index, test_runner::Config as TestConfig};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use settings::{Upstream, UpstreamLifecycle};

use crate::{
    AttemptOutcome, LoadReport, Locality, Pool, RouteRequest, UpstreamStatus,
    tests::{config, engine, model, request},
};

const COUNT: usize = 7;
const SLOTS: u32 = 3;

/// Longest time for which failures keep work away from an upstream while others are in service.
const UNREACHABLE_MAX_US: u64 = 1_000_000;

/// Longest time after which the pool notices that such a time is over.
const REFRESH_US: u64 = 200_000;

/// Event that is passed to the pool and to the model.
#[derive(Debug, Clone)]
enum Event {
    Choose {
        tier: u8,
        body_bytes: u64,
        prefix_hash: u64,
        resume: bool,
        avoid: Option<usize>,
    },
    FirstToken {
        attempt: Index,
        elapsed_us: u64,
    },
    Tokens {
        attempt: Index,
        elapsed_us: u64,
    },
    End {
        attempt: Index,
        outcome: AttemptOutcome,
        waiting: bool,
    },
    Report {
        upstream: usize,
        running: u32,
    },
    Share {
        upstream: usize,
        slots: Option<u32>,
    },
    Leave {
        upstream: usize,
    },
    /// The upstream says itself that it is leaving.
    ReportLeaving {
        upstream: usize,
    },
    /// The upstream asks for a pause.
    Pause {
        upstream: usize,
        us: u64,
    },
    Configure {
        version: u64,
        leaving: u8,
        withdrawn: u8,
        restarted: u8,
    },
    Cache {
        upstream: usize,
        prefix_hash: u64,
        added: bool,
    },
    Wait {
        us: u64,
    },
}

/// Reference model: what the pool must do, kept as plain counts.
#[derive(Debug, Clone, Default)]
struct Oracle {
    now_us: u64,
    version: u64,
    outstanding: [u32; COUNT],
    share: [Option<u32>; COUNT],
    listed: [bool; COUNT],
    /// Whether the pool has the upstream: it is listed or still runs jobs.
    present: [bool; COUNT],
    /// Version up to which a configuration can't bring the upstream back, if it is leaving.
    leaving: [Option<u64>; COUNT],
    /// Whether it is the present instance of the upstream that is known to be leaving.
    instance_leaving: [bool; COUNT],
    /// Number of restarts of the upstream.
    restarts: [u64; COUNT],
    /// End of the pause that the present instance of the upstream asked for.
    paused_until_us: [u64; COUNT],
    /// Whether a rejection or a pause may have lowered the assumed capacity.
    rejected: [bool; COUNT],
    /// Time until which the last failed connection or lost request may keep work away.
    unreachable_until_us: [u64; COUNT],
    /// Upstream and start time of each running attempt.
    attempts: Vec<(usize, u64)>,
}

fn name(index: usize) -> String {
    format!("e{index}")
}

fn upstreams(leaving: u8, withdrawn: u8, restarts: &[u64; COUNT]) -> Vec<Upstream> {
    let listed = (0..COUNT).filter(|index| withdrawn & (1 << index) == 0);
    let upstream = |index: usize| {
        let (region, zone) =
            [("costa", "norte"), ("costa", "sur"), ("sierra", "centro")][index % 3];
        let mut upstream = engine(&name(index), region, zone);
        upstream.slots = SLOTS;
        upstream.started_ms = Some(restarts[index]);
        upstream.honours.resume = index.is_multiple_of(2);
        if leaving & (1 << index) != 0 {
            upstream.state = UpstreamLifecycle::Leaving;
        }
        upstream
    };
    listed.map(upstream).collect()
}

impl Oracle {
    fn configure(&mut self, version: u64, leaving: u8, withdrawn: u8, restarted: u8) {
        for index in 0..COUNT {
            let bit = 1 << index;
            let listed = withdrawn & bit == 0;
            let was_present = self.present[index];
            let leaving_version = &mut self.leaving[index];
            if listed && restarted & bit != 0 {
                self.restarts[index] += 1;
                self.paused_until_us[index] = 0;
                self.unreachable_until_us[index] = 0;
                if std::mem::take(&mut self.instance_leaving[index]) {
                    *leaving_version = None;
                }
            }
            if listed && leaving & bit != 0 {
                self.instance_leaving[index] = true;
                *leaving_version = Some(leaving_version.unwrap_or(0).max(version));
            } else if listed
                && !self.instance_leaving[index]
                && leaving_version.is_some_and(|leaving_version| version > leaving_version)
            {
                *leaving_version = None;
            } else if !listed && was_present {
                *leaving_version = Some(leaving_version.unwrap_or(0).max(version - 1));
            }
            self.listed[index] = listed;
            self.present[index] = listed || self.outstanding[index] > 0;
            if !self.present[index] {
                self.share[index] = None;
            }
        }
        self.version = self.version.max(version);
    }

    fn is_live(&self, index: usize) -> bool {
        let paused = self.now_us < self.paused_until_us[index];
        self.listed[index] && self.leaving[index].is_none() && !paused
    }

    fn has_room(&self, index: usize) -> bool {
        self.outstanding[index] < self.share[index].unwrap_or(SLOTS).min(SLOTS)
    }
}

impl ReferenceStateMachine for Oracle {
    type State = Self;
    type Transition = Event;

    fn init_state() -> BoxedStrategy<Self> {
        let mut oracle = Self::default();
        oracle.configure(1, 0, 0, 0);
        Just(oracle).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Event> {
        let upstream = 0..COUNT;
        let index = any::<Index>();
        let outcome = prop_oneof![
            4 => Just(AttemptOutcome::Complete),
            1 => Just(AttemptOutcome::Cancelled),
            1 => Just(AttemptOutcome::ConnectFailed),
            1 => Just(AttemptOutcome::Rejected),
            1 => Just(AttemptOutcome::Lost),
            1 => Just(AttemptOutcome::Failed),
        ];
        let body = prop_oneof![Just(1_000_u64), Just(100_000), Just(2_000_000)];
        let avoid = proptest::option::of(upstream.clone());
        prop_oneof![
            9 => (0..3_u8, body, 0..4_u64, any::<bool>(), avoid).prop_map(
                |(tier, body_bytes, prefix_hash, resume, avoid)|
                Event::Choose { tier, body_bytes, prefix_hash, resume, avoid }),
            3 => (index.clone(), 1_000..3_000_000_u64).prop_map(|(attempt, elapsed_us)|
                Event::FirstToken { attempt, elapsed_us }),
            3 => (index.clone(), 1_000..900_000_u64).prop_map(|(attempt, elapsed_us)|
                Event::Tokens { attempt, elapsed_us }),
            5 => (index, outcome, any::<bool>()).prop_map(|(attempt, outcome, waiting)|
                Event::End { attempt, outcome, waiting }),
            1 => (upstream.clone(), 0..20_u32).prop_map(|(upstream, running)|
                Event::Report { upstream, running }),
            1 => (upstream.clone(), proptest::option::of(0..5_u32)).prop_map(|(upstream, slots)|
                Event::Share { upstream, slots }),
            1 => upstream.clone().prop_map(|upstream| Event::Leave { upstream }),
            1 => upstream.clone().prop_map(|upstream| Event::ReportLeaving { upstream }),
            1 => (upstream.clone(), 1_000..9_000_000_u64).prop_map(|(upstream, us)|
                Event::Pause { upstream, us }),
            2 => (1..9_u64, any::<u8>(), any::<u8>(), any::<u8>(), any::<u8>()).prop_map(
                |(version, a, b, c, d)| Event::Configure {
                    version,
                    leaving: a & b & c,
                    withdrawn: a & b & !c,
                    restarted: a & c & d,
                }),
            1 => (upstream, 0..4_u64, any::<bool>()).prop_map(|(upstream, prefix_hash, added)|
                Event::Cache { upstream, prefix_hash, added }),
            2 => (1_000..4_000_000_u64).prop_map(|us| Event::Wait { us }),
        ]
        .boxed()
    }

    fn apply(state: Self, _: &Event) -> Self {
        state
    }
}

/// Pool under test together with the model.
struct Subject {
    pool: Pool,
    oracle: Oracle,
}

impl Subject {
    /// Asserts that no upstream was free. Ejection, earlier rejections, recent failures to reach it
    /// and the link budget are the only valid reasons to pass over an upstream with a free slot. The
    /// link budget concerns every third upstream, since those are in the other region.
    fn assert_none_free(&self, request: &RouteRequest<'_>, except: Option<usize>) {
        let statuses = self.pool.statuses();
        for index in (0..COUNT).filter(|&index| Some(index) != except) {
            let ejected =
                |status: &UpstreamStatus| *status.upstream == *name(index) && status.ejected;
            let usable = self.oracle.is_live(index)
                && self.oracle.has_room(index)
                && !self.oracle.rejected[index]
                && (!request.resume || index.is_multiple_of(2))
                && index % 3 != 2
                && !self.is_down(index)
                && !statuses.iter().any(ejected);
            assert!(!usable, "{} could have served", name(index));
        }
    }

    /// Returns whether an upstream is out of service because it can't be reached. That needs a
    /// failure within the last seconds, and another upstream that is in service.
    fn is_down(&self, index: usize) -> bool {
        let statuses = self.pool.statuses();
        let is_down = |index: usize| {
            let mut statuses = statuses.iter();
            statuses.any(|status| *status.upstream == *name(index) && status.is_down)
        };
        if !is_down(index) {
            return false;
        }
        let oracle = &self.oracle;
        let until_us = oracle.unreachable_until_us[index] + REFRESH_US;
        assert!(oracle.now_us < until_us, "{} stays down", name(index));
        let in_service = |other: usize| {
            oracle.is_live(other) && oracle.share[other] != Some(0) && !is_down(other)
        };
        assert!((0..COUNT).any(in_service), "none is left");
        true
    }

    fn choose(&mut self, request: &RouteRequest<'_>, avoid: Option<usize>) {
        let oracle = &self.oracle;
        let model = model();
        let Some(pick) = self.pool.choose(oracle.now_us, request) else {
            self.assert_none_free(request, None);
            return;
        };
        let index = (0..COUNT)
            .find(|&index| *pick.upstream == *name(index))
            .unwrap();
        assert!(oracle.is_live(index), "{} is leaving", name(index));
        assert!(oracle.has_room(index), "{} is full", name(index));
        assert!(
            !request.resume || index.is_multiple_of(2),
            "{} can't resume",
            name(index)
        );
        assert!(self.pool.serves(&model));
        if avoid == Some(index) {
            self.assert_none_free(request, avoid);
        }
        let oracle = &mut self.oracle;
        oracle.outstanding[index] += 1;
        oracle.attempts.push((index, oracle.now_us));
    }

    fn report_leaving(&mut self, upstream: usize) {
        let oracle = &mut self.oracle;
        let started_ms = Some(oracle.restarts[upstream]);
        self.pool
            .set_instance_leaving(oracle.now_us, &name(upstream), started_ms);
        oracle.instance_leaving[upstream] = true;
        let leaving_version = &mut oracle.leaving[upstream];
        *leaving_version = Some(leaving_version.unwrap_or(0).max(oracle.version));
    }

    fn pause(&mut self, upstream: usize, us: u64) {
        let oracle = &mut self.oracle;
        let started_ms = Some(oracle.restarts[upstream]);
        self.pool
            .pause(oracle.now_us, &name(upstream), started_ms, us);
        let until_us = &mut oracle.paused_until_us[upstream];
        *until_us = (oracle.now_us + us).max(*until_us);
        oracle.rejected[upstream] = true;
    }

    fn end(&mut self, attempt: Index, outcome: AttemptOutcome, waiting: bool) {
        let oracle = &mut self.oracle;
        if oracle.attempts.is_empty() {
            return;
        }
        let (index, sent_us) = oracle.attempts.remove(attempt.index(oracle.attempts.len()));
        oracle.outstanding[index] -= 1;
        oracle.rejected[index] |= outcome == AttemptOutcome::Rejected;
        if matches!(
            outcome,
            AttemptOutcome::ConnectFailed | AttemptOutcome::Lost
        ) {
            oracle.unreachable_until_us[index] = oracle.now_us + UNREACHABLE_MAX_US;
        }
        let elapsed_us = oracle.now_us - sent_us;
        let upstream = name(index);
        if waiting {
            self.pool
                .end_before_first_token(oracle.now_us, &upstream, outcome, elapsed_us);
        } else {
            self.pool.end(oracle.now_us, &upstream, outcome);
        }
    }
}

impl StateMachineTest for Subject {
    type SystemUnderTest = Self;
    type Reference = Oracle;

    fn init_test(oracle: &Oracle) -> Self {
        let mut pool = Pool::new(Locality::new("costa", "norte"));
        pool.configure(0, &config(1, &upstreams(0, 0, &[0; COUNT])));
        pool.set_link_budget(1_000_000);
        let oracle = oracle.clone();
        Self { pool, oracle }
    }

    fn apply(mut subject: Self, _: &Oracle, event: Event) -> Self {
        let now_us = subject.oracle.now_us;
        let attempts = &subject.oracle.attempts;
        let attempt_on = |attempt: Index| {
            (!attempts.is_empty()).then(|| name(attempts[attempt.index(attempts.len())].0))
        };
        match event {
            Event::Choose {
                tier,
                body_bytes,
                prefix_hash,
                resume,
                avoid,
            } => {
                let model = model();
                let avoid_name = avoid.map(name);
                let avoid_name = avoid_name.as_deref();
                let base = request(&model);
                let request = RouteRequest {
                    tier,
                    body_bytes,
                    prefix_hash,
                    parts: &[],
                    job: 0,
                    resume,
                    avoid: avoid_name,
                    ..base
                };
                subject.choose(&request, avoid);
            }
            Event::FirstToken {
                attempt,
                elapsed_us,
            } => {
                if let Some(upstream) = attempt_on(attempt) {
                    subject
                        .pool
                        .record_first_token(now_us, &upstream, elapsed_us, 500);
                }
            }
            Event::Tokens {
                attempt,
                elapsed_us,
            } => {
                if let Some(upstream) = attempt_on(attempt) {
                    subject.pool.record_tokens(now_us, &upstream, elapsed_us, 4);
                }
            }
            Event::End {
                attempt,
                outcome,
                waiting,
            } => subject.end(attempt, outcome, waiting),
            Event::Report { upstream, running } => {
                let load = LoadReport {
                    running,
                    ..LoadReport::default()
                };
                subject.pool.report_load(now_us, &name(upstream), &load);
            }
            Event::Share { upstream, slots } => {
                subject.pool.set_share(&name(upstream), slots);
                let oracle = &mut subject.oracle;
                if oracle.present[upstream] {
                    oracle.share[upstream] = slots;
                }
            }
            Event::Leave { upstream } => {
                subject.pool.set_leaving(&name(upstream));
                let version = subject.oracle.version;
                let leaving_version = &mut subject.oracle.leaving[upstream];
                *leaving_version = Some(leaving_version.unwrap_or(0).max(version));
            }
            Event::ReportLeaving { upstream } => subject.report_leaving(upstream),
            Event::Pause { upstream, us } => subject.pause(upstream, us),
            Event::Configure {
                version,
                leaving,
                withdrawn,
                restarted,
            } => {
                let oracle = &mut subject.oracle;
                oracle.configure(version, leaving, withdrawn, restarted);
                let config = config(version, &upstreams(leaving, withdrawn, &oracle.restarts));
                subject.pool.configure(now_us, &config);
            }
            Event::Cache {
                upstream,
                prefix_hash,
                added,
            } => {
                subject
                    .pool
                    .cache_event(now_us, &name(upstream), prefix_hash, added);
            }
            Event::Wait { us } => subject.oracle.now_us += us,
        }
        subject
    }

    fn check_invariants(subject: &Self, _: &Oracle) {
        let oracle = &subject.oracle;
        for index in 0..COUNT {
            let outstanding = subject.pool.outstanding(&name(index));
            assert_eq!(
                outstanding,
                oracle.outstanding[index],
                "outstanding on {}",
                name(index)
            );
        }
        let ejected = subject.pool.statuses();
        let ejected = ejected.iter().filter(|status| status.ejected).count();
        let usable = |index: &usize| oracle.is_live(*index) && oracle.share[*index] != Some(0);
        let live = (0..COUNT).filter(usable).count();
        assert!(ejected <= live / 3, "{ejected} of {live} ejected");
    }
}

prop_state_machine! {
    #![proptest_config(TestConfig { cases: 400, failure_persistence: None, ..TestConfig::default() })]

    // Guards against slots that leak or are assigned twice, work on leaving or paused upstreams,
    // ejection of more than a third, and jobs that wait although an upstream is free.
    #[test]
    fn holds_leaving_and_slots_under_any_events(sequential 1..120 => Subject);
}
