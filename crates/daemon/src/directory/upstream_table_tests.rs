use proptest::prelude::*;
use store::StoreVersion;

use super::{REMOVED_MAX, UpstreamTable};
use crate::{
    adapter::{UpstreamRead, UpstreamRow},
    directory::roster::tests::upstream,
};

/// Version of the first era.
const fn v(number: u64) -> StoreVersion {
    StoreVersion::new(1, number)
}

fn row(number: u16, store_version: StoreVersion, is_present: bool) -> UpstreamRow {
    UpstreamRow {
        name: format!("engine-{number}"),
        store_version,
        upstream: is_present.then(|| upstream(number)),
    }
}

fn read(store_version: StoreVersion, is_whole: bool, rows: Vec<UpstreamRow>) -> UpstreamRead {
    UpstreamRead {
        store_version,
        is_whole,
        rows,
    }
}

fn names(table: &UpstreamTable) -> Vec<String> {
    let rows = table.rows().iter();
    let present = rows.filter(|row| row.upstream.is_some());
    present.map(|row| row.name.clone()).collect()
}

/// Guards against a copy that goes back when a daemon that lags passes on its own.
#[test]
fn an_older_copy_changes_nothing() {
    let mut table = UpstreamTable::default();
    assert!(table.apply(read(v(9), true, vec![row(1, v(4), true)])));
    assert!(!table.apply(read(v(8), true, vec![row(2, v(3), true)])));
    assert!(!table.apply(read(v(8), false, vec![row(1, v(5), false)])));
    // The copy has a newer state of the row than the change says.
    assert!(!table.apply(read(v(9), false, vec![row(1, v(3), false)])));
    assert_eq!(names(&table), ["engine-1"]);
}

/// Guards against removed rows that pile up over the days, and against a daemon that isn't told of
/// those that were forgotten.
#[test]
fn removed_rows_are_forgotten_but_never_missed() {
    let mut table = UpstreamTable::default();
    let count = u16::try_from(REMOVED_MAX + 1).unwrap();
    let rows = (1..=count).map(|number| row(number, v(u64::from(number)), true));
    table.apply(read(v(u64::from(count)), true, rows.collect()));
    let mut follower = UpstreamTable::default();
    follower.apply(table.changes_since(None).unwrap());
    let before = follower.store_version();
    for number in 1..=count {
        let version = v(u64::from(count) + u64::from(number));
        table.apply(read(version, false, vec![row(number, version, false)]));
    }
    assert!(table.rows.len() <= REMOVED_MAX);
    let lacking = table.changes_since(before).unwrap();
    assert!(lacking.is_whole);
    follower.apply(lacking);
    assert_eq!(names(&follower), [""; 0]);
}

/// Guards against a list that is dropped because the store came back from an older copy and its
/// versions are lower: hosts never learned of an upstream that left (issue 52).
#[test]
fn a_restored_list_replaces_a_newer_one() {
    let mut table = UpstreamTable::default();
    let rows = vec![row(1, v(4), true), row(2, v(5), true)];
    table.apply(read(v(9), true, rows));
    let mut follower = UpstreamTable::default();
    follower.apply(table.changes_since(None).unwrap());
    let restored = StoreVersion::new(2, 4);
    let rows = vec![row(1, restored, true)];
    assert!(table.apply(read(restored, true, rows)));
    assert_eq!(names(&table), ["engine-1"]);
    // A follower of the era before is told all, and a late answer of that era changes nothing.
    let lacking = table.changes_since(follower.store_version()).unwrap();
    assert!(lacking.is_whole);
    follower.apply(lacking);
    assert_eq!(names(&follower), ["engine-1"]);
    assert!(!table.apply(read(v(12), true, vec![row(3, v(12), true)])));
    assert_eq!(names(&table), ["engine-1"]);
}

/// Guards against changes of a new era that are applied to the list of an earlier one.
#[test]
fn changes_of_another_era_need_a_whole_list() {
    let mut table = UpstreamTable::default();
    table.apply(read(v(9), true, vec![row(1, v(4), true)]));
    let version = StoreVersion::new(2, 10);
    assert!(!table.apply(read(version, false, vec![row(2, version, true)])));
    assert_eq!(names(&table), ["engine-1"]);
    assert_eq!(table.store_version(), Some(v(9)));
}

/// One change of a row, or a read by one of the copies.
#[derive(Debug, Clone)]
enum Event {
    Change {
        number: u16,
        is_present: bool,
    },
    /// The store comes back from its state at an earlier version, counted back from the newest.
    Restore(usize),
    /// The copy asks the store.
    FromStore(usize),
    /// The first copy asks the second.
    FromCopy(usize, usize),
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let event = prop_oneof![
        3 => (1..8_u16, any::<bool>())
            .prop_map(|(number, is_present)| Event::Change { number, is_present }),
        1 => (0..6_usize).prop_map(Event::Restore),
        1 => (0..3_usize).prop_map(Event::FromStore),
        3 => (0..3_usize, 0..3_usize).prop_map(|(to, from)| Event::FromCopy(to, from)),
    ];
    proptest::collection::vec(event, 1..60)
}

proptest! {
    /// Copies that take turns in asking the store and each other, while the store may come back from
    /// an older copy. Guards against one that differs from what the store had at the version that
    /// the copy claims, and against one that goes back.
    #[test]
    fn every_copy_is_a_state_of_the_store(events in events()) {
        let mut version = v(0);
        let mut store = UpstreamTable::default();
        store.apply(read(version, true, Vec::new()));
        // States of all eras, by version.
        let mut states = vec![(version, names(&store))];
        // States of this era and of those that it came from, which can be restored.
        let mut history = vec![store.rows().to_vec()];
        let mut copies: [UpstreamTable; 3] = std::array::from_fn(|_| UpstreamTable::default());
        for event in events {
            let before = copies.each_ref().map(UpstreamTable::store_version);
            match event {
                Event::Change { number, is_present } => {
                    version.number += 1;
                    store.apply(read(version, false, vec![row(number, version, is_present)]));
                    states.push((version, names(&store)));
                    history.push(store.rows().to_vec());
                }
                Event::Restore(age) => {
                    history.truncate(history.len().saturating_sub(age).max(1));
                    version = StoreVersion::new(version.era + 1, history.len() as u64 - 1);
                    let rows = history.last().unwrap().iter().cloned();
                    let rows = rows.map(|row| UpstreamRow {
                        store_version: StoreVersion::new(version.era, row.store_version.number),
                        ..row
                    });
                    store = UpstreamTable::default();
                    store.apply(read(version, true, rows.collect()));
                    states.push((version, names(&store)));
                }
                Event::FromStore(copy) => {
                    let after = copies[copy].store_version();
                    copies[copy].apply(store.changes_since(after).unwrap());
                }
                Event::FromCopy(to, from) => {
                    let after = copies[to].store_version();
                    if let Some(read) = copies[from].changes_since(after) {
                        copies[to].apply(read);
                    }
                }
            }
            for (copy, before) in copies.iter().zip(before) {
                prop_assert!(copy.store_version() >= before);
                if let Some(version) = copy.store_version() {
                    let index = states.binary_search_by_key(&version, |(version, _)| *version);
                    prop_assert_eq!(&names(copy), &states[index.unwrap()].1);
                }
            }
        }
    }
}
