use proptest::prelude::*;

use super::{
    OUTAGE_MIN_US, REREGISTER_GRACE_US, Roster,
    tests::{names, upstream},
};

/// One read of the store, `after_us` after the previous one.
#[derive(Debug, Clone)]
struct Read {
    after_us: u64,
    /// Numbers of the upstreams that are listed; `None` if the store can't be read.
    listed: Option<Vec<u16>>,
}

/// Returns the number of an upstream: 1 to 4 have different addresses, 11 to 14 take over theirs.
fn number_of(index: usize) -> u16 {
    u16::try_from(index % 4 + 1 + index / 4 * 10).unwrap()
}

fn reads() -> impl Strategy<Value = Vec<Read>> {
    let listed = proptest::collection::vec(any::<bool>(), 8).prop_map(|present| {
        let present = present
            .into_iter()
            .enumerate()
            .filter(|(_, present)| *present);
        // Two upstreams with the same address are never listed together.
        let numbers: Vec<u16> = present.map(|(index, _)| number_of(index)).collect();
        let taken = |number: &u16| *number > 10 || !numbers.contains(&(number + 10));
        numbers.iter().copied().filter(taken).collect()
    });
    let listed = prop_oneof![3 => listed.prop_map(Some), 1 => Just(None)];
    let read = (1..2_000_000_u64, listed).prop_map(|(after_us, listed)| Read { after_us, listed });
    proptest::collection::vec(read, 1..40)
}

/// Returns the index of the first read after the last outage that was long enough for rows to
/// expire.
fn last_outage(history: &[(u64, Option<Vec<u16>>)]) -> Option<usize> {
    let is_first_after_outage = |&index: &usize| {
        let has_failed = index > 0 && history[index - 1].1.is_none();
        let earlier = history[..index]
            .iter()
            .rev()
            .find(|(_, listed)| listed.is_some());
        let is_long = earlier.is_none_or(|(at_us, _)| history[index].0 >= at_us + OUTAGE_MIN_US);
        history[index].1.is_some() && has_failed && is_long
    };
    (0..history.len()).rev().find(is_first_after_outage)
}

/// Returns the upstreams that must be known after the last read, derived from all reads so far.
fn expected(history: &[(u64, Option<Vec<u16>>)], before: &[u16]) -> Vec<u16> {
    let (now_us, listed) = history.last().unwrap();
    let listed = listed.clone().unwrap();
    // Reads since the last outage, if there was one: it is a time without a read in which one failed.
    let since_outage = last_outage(history).map_or(&[][..], |index| &history[index..]);
    let in_grace_period = since_outage
        .first()
        .is_some_and(|(recovered_us, _)| *now_us < recovered_us + REREGISTER_GRACE_US);
    let mut known = listed.clone();
    for &number in before {
        let seen = |(_, listed): &(u64, Option<Vec<u16>>)| {
            listed
                .as_ref()
                .is_some_and(|listed| listed.contains(&number))
        };
        let address_taken = listed.iter().any(|other| other % 10 == number % 10);
        if in_grace_period && !since_outage.iter().any(seen) && !address_taken {
            known.push(number);
        }
    }
    known.sort_unstable();
    known
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against an upstream that is dropped although its row may only have expired, one that
    /// is kept although it has left, and a grace period that ends without another read.
    #[test]
    fn holds_roster_follows_the_store(reads in reads()) {
        let mut roster = Roster::default();
        let mut history = Vec::new();
        let mut known: Vec<u16> = Vec::new();
        let mut now_us = 0;
        for Read { after_us, listed } in reads {
            now_us += after_us;
            history.push((now_us, listed.clone()));
            let Some(listed) = listed else {
                roster.record_failure();
                continue;
            };
            let changed = roster.update(now_us, listed.iter().map(|&number| {
                let mut upstream = upstream(number);
                upstream.address = ([127, 0, 0, 1], number % 10).into();
                upstream
            }).collect());
            roster.record_read(now_us);
            let expected = expected(&history, &known);
            prop_assert_eq!(changed, expected != known);
            let mut expected_names: Vec<String> =
                expected.iter().map(|number| format!("engine-{number}")).collect();
            expected_names.sort_unstable();
            prop_assert_eq!(names(&roster), expected_names);
            // The list is read again as soon as the grace period ends.
            let has_missing = expected.iter().any(|number| !listed.contains(number));
            prop_assert_eq!(roster.grace_ends_us().is_some(), has_missing);
            prop_assert!(roster.grace_ends_us().is_none_or(|grace_ends_us| grace_ends_us > now_us));
            known = expected;
        }
    }
}
