use proptest::prelude::*;

use super::{
    RETURN_US, Roster,
    tests::{names, upstream},
};

/// One look at the store, `after_us` after the one before.
#[derive(Debug, Clone)]
struct Look {
    after_us: u64,
    /// Numbers of the upstreams that are listed; `None` if the store can't be read.
    listed: Option<Vec<u16>>,
}

/// Upstreams 1 to 4 have addresses of their own; 11 to 14 take the addresses of these over.
fn number_of(index: usize) -> u16 {
    u16::try_from(index % 4 + 1 + index / 4 * 10).unwrap()
}

fn looks() -> impl Strategy<Value = Vec<Look>> {
    let listed = proptest::collection::vec(any::<bool>(), 8).prop_map(|present| {
        let present = present
            .into_iter()
            .enumerate()
            .filter(|(_, present)| *present);
        // An upstream and the one that has its address by now are never listed together.
        let numbers: Vec<u16> = present.map(|(index, _)| number_of(index)).collect();
        let taken = |number: &u16| *number > 10 || !numbers.contains(&(number + 10));
        numbers.iter().copied().filter(taken).collect()
    });
    let listed = prop_oneof![3 => listed.prop_map(Some), 1 => Just(None)];
    let look = (1..2_000_000_u64, listed).prop_map(|(after_us, listed)| Look { after_us, listed });
    proptest::collection::vec(look, 1..40)
}

/// Returns the upstreams that have to be known after the last of the looks, from all of them.
fn expected(history: &[(u64, Option<Vec<u16>>)], before: &[u16]) -> Vec<u16> {
    let (now_us, listed) = history.last().unwrap();
    let listed = listed.clone().unwrap();
    // Reads since the store's return, if it was away.
    let failed = history.iter().rposition(|(_, listed)| listed.is_none());
    let since = failed.map_or(&[][..], |index| &history[index + 1..]);
    let waits = since
        .first()
        .is_some_and(|(returned_us, _)| *now_us < returned_us + RETURN_US);
    let mut known = listed.clone();
    for &number in before {
        let seen = |(_, listed): &(u64, Option<Vec<u16>>)| {
            listed
                .as_ref()
                .is_some_and(|listed| listed.contains(&number))
        };
        let address_taken = listed.iter().any(|other| other % 10 == number % 10);
        if waits && !since.iter().any(seen) && !address_taken {
            known.push(number);
        }
    }
    known.sort_unstable();
    known
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against an upstream that is dropped although its row may only have lapsed, one that is
    /// kept although it has left, and a wait that the list is not read again after.
    #[test]
    fn holds_roster_follows_the_store(looks in looks()) {
        let mut roster = Roster::default();
        let mut history = Vec::new();
        let mut known: Vec<u16> = Vec::new();
        let mut now_us = 0;
        for Look { after_us, listed } in looks {
            now_us += after_us;
            history.push((now_us, listed.clone()));
            let Some(listed) = listed else {
                roster.note_failure();
                continue;
            };
            let changed = roster.take(now_us, listed.iter().map(|&number| {
                let mut upstream = upstream(number);
                upstream.address = ([127, 0, 0, 1], number % 10).into();
                upstream
            }).collect());
            let expected = expected(&history, &known);
            prop_assert_eq!(changed, expected != known);
            let mut expected_names: Vec<String> =
                expected.iter().map(|number| format!("engine-{number}")).collect();
            expected_names.sort_unstable();
            prop_assert_eq!(names(&roster), expected_names);
            // The list is read again as soon as what is missing counts as gone.
            let waits = expected.iter().any(|number| !listed.contains(number));
            prop_assert_eq!(roster.settles_us().is_some(), waits);
            prop_assert!(roster.settles_us().is_none_or(|settles_us| settles_us > now_us));
            known = expected;
        }
    }
}
