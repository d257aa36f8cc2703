//! Properties: every tier gets its reserved share under overload.

use proptest::prelude::*;
use queue::ReservedShares;

use crate::{
    Action, Dispatcher, JobId, Outcome, Reason, Target,
    oracle::{config, job},
};

/// Runs a permanent backlog of all tiers and returns the number of starts by tier.
///
/// After each event, it checks that no tier waited for more starts of other tiers on free slots
/// than its bound, unless it held its share of the slots.
fn run_backlog(slots: u32, choices: &[usize], ms: u64) -> [u32; 3] {
    let mut dispatcher = Dispatcher::default().with_queue_max(10_000);
    let mut reserve = ReservedShares::default();
    reserve.set_percent([0, 20, 10]);
    let mut actions = Vec::new();
    dispatcher.configure(0, &config(slots), &mut actions);
    let mut running: Vec<(JobId, usize, bool)> = Vec::new();
    let (mut starts, mut passed_over, mut now_us, mut next_id) = ([0; 3], [0_u32; 3], 0, 0);
    for (round, &choice) in choices.iter().enumerate() {
        now_us += ms * 1_000;
        for tier in 0..3_u8 {
            // Most arrivals queue; some find a short backlog and preempt.
            while dispatcher.queued(tier) < 1 + choice % 3 {
                next_id += 1;
                let mut job = job(tier, Target::Model("faucet".into()), true, 3_600_000);
                (job.id, job.deadline_us) = (JobId(next_id), u64::MAX / 2);
                dispatcher.submit(now_us, job, &mut actions);
            }
        }
        if let Some(&(id, ..)) = running.get(choice % running.len().max(1)) {
            dispatcher.record_first_token(now_us, id, &mut actions);
            dispatcher.record_tokens(
                now_us,
                id,
                1 + u32::try_from(choice % 500).unwrap(),
                &mut actions,
            );
            running.retain(|(other, ..)| *other != id);
            dispatcher.finish(now_us, id, Outcome::Complete, &mut actions);
        }
        dispatcher.tick(now_us, &mut actions);
        for action in actions.drain(..) {
            match action {
                Action::Cancel { id, .. } => running.retain(|(other, ..)| *other != id),
                Action::Start { id, reason, .. } => {
                    let tier = dispatcher.jobs[&id].tier();
                    running.push((id, tier, reason == Reason::ReservedShare));
                    starts[tier] += 1;
                    let on_free_slot = !matches!(reason, Reason::AfterPreemption { .. });
                    for other in 1..3 {
                        let held = running
                            .iter()
                            .filter(|(_, tier, reserved)| *tier == other && *reserved);
                        let share = (2 * slots * [0, 20, 10][other]).div_ceil(100).max(1);
                        if other == tier || u32::try_from(held.count()).unwrap() >= share {
                            passed_over[other] = 0;
                        } else if on_free_slot {
                            // In the first round, not every tier has a backlog yet.
                            passed_over[other] += u32::from(round > 0);
                        }
                        let bound = reserve.max_starts_passed(other).unwrap();
                        assert!(
                            passed_over[other] <= bound,
                            "tier {other} was passed over: {passed_over:?}"
                        );
                    }
                }
                _ => {}
            }
        }
    }
    starts
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a tier that waits longer than the stated number of starts under overload.
    #[test]
    fn holds_served_within_the_bound(
        slots in 1..6_u32,
        choices in prop::collection::vec(any::<usize>(), 50..400),
        ms in 1..50_u64,
    ) {
        run_backlog(slots, &choices, ms);
    }
}

/// Guards against a reserve that starts lower tiers much less often than their percentage.
#[test]
fn holds_served_share_of_starts() {
    for (name, slots) in [("one slot each", 1), ("ten slots each", 10)] {
        let choices: Vec<usize> = (0..10_000).map(|number| number * 7).collect();
        let starts = run_backlog(slots, &choices, 10);
        let total: u32 = starts.iter().sum();
        for (tier, percent) in [(1, 20), (2, 10)] {
            let least = total * percent / 100 * 8 / 10;
            assert!(starts[tier] >= least, "{name}: {starts:?}");
        }
    }
}

/// Simulates ten seconds with ten slots, answers of 200 ms and a longest wait of 500 ms.
///
/// A job of each tier arrives every `every_ms`. Returns the number of completed answers by tier.
fn run_overload(every_ms: [u64; 3]) -> [u32; 3] {
    let mut dispatcher = Dispatcher::default();
    let mut actions = Vec::new();
    dispatcher.configure(0, &config(5), &mut actions);
    let mut ends: Vec<(u64, JobId)> = Vec::new();
    let (mut completed, mut next_id) = ([0; 3], 0);
    for ms in 0..10_000 {
        let now_us = ms * 1_000;
        let due: Vec<JobId> = ends
            .iter()
            .filter(|end| end.0 == ms)
            .map(|end| end.1)
            .collect();
        for id in due {
            completed[dispatcher.jobs[&id].tier()] += 1;
            ends.retain(|end| end.1 != id);
            dispatcher.finish(now_us, id, Outcome::Complete, &mut actions);
        }
        for (tier, every_ms) in (0..).zip(every_ms) {
            if ms % every_ms == 0 {
                next_id += 1;
                let mut job = job(tier, Target::Model("faucet".into()), true, 500);
                (job.id, job.deadline_us) = (JobId(next_id), now_us + 500_000);
                dispatcher.submit(now_us, job, &mut actions);
            }
        }
        if ms % 10 == 0 {
            dispatcher.tick(now_us, &mut actions);
        }
        for action in actions.drain(..) {
            match action {
                Action::Cancel { id, .. } => ends.retain(|end| end.1 != id),
                Action::Start { id, .. } => ends.push((ms + 200, id)),
                _ => {}
            }
        }
    }
    completed
}

/// Guards against jobs of the lowest tier that start under overload but are always preempted before
/// they finish, and against a top tier below capacity that loses answers to lower tiers.
#[test]
fn holds_served_answers_finish_under_overload() {
    for (name, every_ms) in [
        ("middle tier above capacity", [100, 10, 20]),
        ("top tier at 70%, all above", [28, 20, 20]),
    ] {
        let completed = run_overload(every_ms);
        let total: u32 = completed.iter().sum();
        // Half of the reserved percentages, since preempted jobs lose their progress here.
        assert!(completed[1] >= total / 10, "{name}: {completed:?}");
        assert!(completed[2] >= total / 20, "{name}: {completed:?}");
        let submitted = u32::try_from(10_000 / every_ms[0]).unwrap();
        assert!(
            completed[0] >= submitted * 95 / 100,
            "{name}: {completed:?} of {submitted}"
        );
    }
}
