//! Tests of the estimates of how long answers take.

use std::sync::Arc;

use crate::answer_times::AnswerTimes;

const MS_US: u64 = 1_000;

// Guards against a bound that most answers exceed, or that is far from what was observed.
#[test]
fn bound_covers_what_was_observed() {
    let class: Arc<str> = "photo".into();
    let mut times = AnswerTimes::default();
    assert_eq!(times.longest_us("photo"), None);
    for round in 0..200 {
        times.observe(&class, (800 + round % 5 * 100) * MS_US);
    }
    let longest_us = times.longest_us("photo").unwrap();
    assert!(longest_us >= 1_200 * MS_US, "{longest_us}");
    assert!(longest_us <= 2_400 * MS_US, "{longest_us}");
    assert_eq!(times.longest_us("catalogue"), None);
}

// Guards against a bound without a margin after the first answers, which may have been short.
#[test]
fn first_answers_leave_a_margin() {
    let class: Arc<str> = "photo".into();
    let mut times = AnswerTimes::default();
    times.observe(&class, 100 * MS_US);
    assert_eq!(times.longest_us("photo"), Some(300 * MS_US));
}

// Guards against memory that grows with every route that ever existed.
#[test]
fn number_of_classes_is_bounded() {
    let mut times = AnswerTimes::default();
    let often: Arc<str> = "often".into();
    times.observe(&often, MS_US);
    times.observe(&often, MS_US);
    for number in 0..1_000 {
        times.observe(&format!("route-{number}").into(), MS_US);
    }
    assert!(times.longest_us("often").is_some());
    let known = (0..1_000).filter(|number| times.longest_us(&format!("route-{number}")).is_some());
    assert!(known.count() < 256);
}
