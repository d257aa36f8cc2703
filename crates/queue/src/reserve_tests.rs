//! Tests of the starts and slots that are reserved for lower tiers.

use crate::ReservedShares;

/// Guards against a waiting tier that starts later than `max_starts_passed` states.
#[test]
fn holds_served_bound_of_starts() {
    for (name, percent) in [
        ("one tier", [0, 0, 5]),
        ("two tiers", [0, 10, 5]),
        ("uneven", [0, 7, 3]),
        ("all of it", [0, 50, 50]),
    ] {
        let mut reserve = ReservedShares::default();
        reserve.set_percent(percent);
        let mut passed = [0; 3];
        for _ in 0..10_000 {
            let due = reserve
                .service_order()
                .into_iter()
                .find(|&tier| reserve.is_due(tier, 1));
            let tier = due.unwrap_or(0);
            reserve.started(tier, due.is_some(), [true; 3]);
            if due.is_some() {
                reserve.ended(tier);
            }
            for (other, passed) in passed.iter_mut().enumerate().skip(1) {
                *passed = if other == tier { 0 } else { *passed + 1 };
                if let Some(bound) = reserve.max_starts_passed(other) {
                    assert!(*passed <= bound, "{name}: tier {other} after {passed}");
                }
            }
        }
    }
}

/// Guards against reserved jobs that occupy more than their share of the slots.
#[test]
fn reserved_slots_are_bounded() {
    let mut reserve = ReservedShares::default();
    reserve.set_percent([0, 0, 20]);
    for _ in 0..100 {
        let due = reserve.is_due(2, 10);
        reserve.started(if due { 2 } else { 0 }, due, [true; 3]);
    }
    assert!(!reserve.is_due(2, 10));
    reserve.ended(2);
    assert!(reserve.is_due(2, 10));
}
