//! Fleets of daemons that have to find a deadly part together.

use self::{
    plan::Plan,
    simulation::{DEADLY, Fleet, S_US, SENDS_MAX, STEP_US},
};
use crate::VerdictState;

mod plan;
mod simulation;

/// Checks that few deadly requests are sent after the fifth crash, and that sound ones with the same
/// other parts are served. Returns the number of crashes.
fn check(plan: Plan) -> usize {
    let outcome = Fleet::new(plan).run(30 * S_US);
    assert!(
        outcome.late_sends(&plan) <= SENDS_MAX,
        "{plan:?} {outcome:?}"
    );
    for (sent, refused) in outcome.companions {
        assert!(sent >= refused, "{plan:?} {outcome:?}");
    }
    outcome.crashes_us[0].len()
}

/// Guards against a deadly part that is sent again and again, wherever it stands in the prompt and
/// however often it comes.
#[test]
fn few_deadly_requests_are_sent_after_the_fifth_crash() {
    for seed in 1..=30 {
        for deadly_share in [0.02, 0.05, 0.2, 0.4] {
            for (deadly_position, attempts) in [(0, 1), (1, 3), (2, 1), (2, 3)] {
                check(Plan {
                    deadly_share,
                    deadly_position,
                    attempts,
                    ..Plan::small(seed)
                });
            }
        }
    }
}

/// Guards against ordinary crashes and lost answers that hide a deadly part.
#[test]
fn ordinary_failures_do_not_hide_a_deadly_part() {
    for seed in 1..=30 {
        check(Plan {
            deadly_share: 0.1,
            ordinary_crashes: 10,
            lost_answers: 0.02,
            lost_messages: 0.2,
            ..Plan::small(seed)
        });
    }
}

/// Guards against daemons that all start again without what they knew of a deadly part.
#[test]
fn deadly_part_is_known_after_all_daemons_were_killed() {
    for seed in 1..=30 {
        for deadly_share in [0.02, 0.05, 0.2] {
            for (deadly_position, attempts) in [(0, 1), (1, 2), (2, 1), (2, 2)] {
                for killed_us in [10 * S_US, 16 * S_US] {
                    check(Plan {
                        deadly_share,
                        deadly_position,
                        attempts,
                        killed_us: Some(killed_us),
                        ..Plan::small(seed)
                    });
                }
            }
        }
    }
}

/// Guards against a large fleet whose daemons don't learn in time what the others have seen, and
/// against messages that grow with the square of the fleet.
#[test]
fn large_fleet_learns_of_a_deadly_part_in_time() {
    for seed in 1..=2 {
        for deadly_share in [0.01, 0.1] {
            let plan = Plan {
                deadly_share,
                ..Plan::large(seed)
            };
            check(plan);
            let outcome = Fleet::new(plan).run(12 * S_US);
            assert!(outcome.messages < 300 * 300, "{outcome:?}");
        }
    }
}

/// Guards against upstreams that die by themselves, answers that are lost and callers' retries
/// putting an innocent part into quarantine.
#[test]
fn ordinary_failures_quarantine_nothing() {
    for seed in 1..=40 {
        let plan = Plan {
            deadly_share: 0.0,
            ordinary_crashes: 15,
            lost_answers: 0.05,
            attempts: 3,
            ..Plan::small(seed)
        };
        let outcome = Fleet::new(plan).run(30 * S_US);
        assert_eq!(outcome.sound_refused, 0, "{plan:?} {outcome:?}");
    }
    let plan = Plan {
        deadly_share: 0.0,
        ordinary_crashes: 15,
        lost_answers: 0.02,
        attempts: 3,
        ..Plan::large(1)
    };
    let outcome = Fleet::new(plan).run(30 * S_US);
    assert_eq!(outcome.sound_refused, 0, "{plan:?} {outcome:?}");
}

/// Guards against a quarantine that outlives the crash of the daemons that gathered the evidence.
#[test]
fn verdict_survives_the_daemons_that_found_it() {
    let mut fleet = Fleet::new(Plan {
        deadly_share: 0.3,
        ..Plan::small(1)
    });
    let mut now_us = 0;
    while now_us < 12 * S_US {
        now_us += STEP_US;
        fleet.deliver(now_us);
        fleet.arrive(now_us);
        fleet.advance(now_us);
        fleet.tick(now_us);
    }
    for daemon in &fleet.daemons {
        let parts = daemon.parts(now_us);
        let states: Vec<(u64, VerdictState)> =
            parts.iter().map(|part| (part.part, part.state)).collect();
        assert_eq!(states, [(DEADLY, VerdictState::Quarantined)]);
    }
}

/// Guards against a deadly request that is repeated at many daemons, none of which sees enough of
/// its crashes, and against sound requests of the same prompts that are refused.
#[test]
fn few_repeats_of_a_deadly_request_are_sent() {
    let plans = (1..=20).flat_map(|seed| {
        let shares = [0.02, 0.05, 0.2, 0.4];
        shares.into_iter().flat_map(move |deadly_share| {
            [(1, 0.0), (2, 0.02), (3, 0.0)].map(|(attempts, lost_answers)| Plan {
                deadly_whole: true,
                deadly_share,
                attempts,
                lost_answers,
                ..Plan::small(seed)
            })
        })
    });
    let large = Plan {
        deadly_whole: true,
        ..Plan::large(1)
    };
    for plan in plans.chain([large]) {
        if plan != OPEN_REPEATS {
            check_repeats(plan);
        }
    }
}

/// Guards against the same on the plan that is still open: a sound request is refused because of a
/// part that it shares with the deadly one.
#[test]
fn few_repeats_of_a_deadly_request_are_sent_on_the_open_plan() {
    check_repeats(OPEN_REPEATS);
}

/// Checks that few repeats of a deadly request are sent and no sound request is refused.
fn check_repeats(plan: Plan) {
    let outcome = Fleet::new(plan).run(15 * S_US);
    assert!(
        outcome.late_repeats() <= SENDS_MAX && outcome.sound_refused == 0,
        "{plan:?} {outcome:?}"
    );
}

/// Plan on which a sound request is refused beside a deadly one.
const OPEN_REPEATS: Plan = Plan {
    deadly_whole: true,
    deadly_share: 0.4,
    attempts: 2,
    lost_answers: 0.02,
    ..Plan::small(15)
};

/// Plans with two deadly parts and answers that begin late, so that sound parts are lost often and
/// answered rarely.
fn plans_of_two_deadly_parts(seed: u64) -> impl Iterator<Item = Plan> {
    let loads = [(0.0, 700), (0.5, 700), (0.5, 2_000), (0.0, 2_000)];
    loads
        .into_iter()
        .flat_map(move |(hot_share, begins_max_ms)| {
            [0.05, 0.1, 0.2].into_iter().flat_map(move |deadly_share| {
                [(1, 0), (1, 10), (2, 0), (2, 10)].into_iter().map(
                    move |(attempts, ordinary_crashes)| Plan {
                        deadly_share,
                        deadly_parts: 2,
                        hot_share,
                        begins_max_ms,
                        attempts,
                        ordinary_crashes,
                        ..Plan::small(seed)
                    },
                )
            })
        })
}

/// Plans on which a deadly part is still sent too often, or sound companions are refused.
const OPEN_PLANS: [Plan; 3] = [
    Plan {
        deadly_share: 0.2,
        ordinary_crashes: 10,
        begins_max_ms: 2_000,
        ..two_deadly_parts_and_a_hot_subject(3)
    },
    Plan {
        deadly_share: 0.2,
        ordinary_crashes: 10,
        begins_max_ms: 2_000,
        attempts: 2,
        ..two_deadly_parts_and_a_hot_subject(1_061)
    },
    two_deadly_parts_and_a_hot_subject(1_085),
];

const fn two_deadly_parts_and_a_hot_subject(seed: u64) -> Plan {
    Plan {
        deadly_parts: 2,
        hot_share: 0.5,
        ..Plan::small(seed)
    }
}

/// Guards against a deadly part that is taken for innocent because sound parts, quarantined by
/// mistake, explain its crashes.
#[test]
fn deadly_part_is_found_beside_another_one() {
    for seed in 1..=10 {
        let plans = plans_of_two_deadly_parts(seed);
        for plan in plans.filter(|plan| !OPEN_PLANS.contains(plan)) {
            check(plan);
        }
    }
}

/// Guards against the same on the plans that are still open.
#[test]
fn deadly_part_is_found_beside_another_one_on_open_plans() {
    for plan in OPEN_PLANS {
        check(plan);
    }
}
