use proptest::prelude::*;

use super::{REMOVED_MAX, UpstreamTable};
use crate::{
    adapter::{UpstreamRead, UpstreamRow},
    directory::roster::tests::upstream,
};

fn row(number: u16, store_version: u64, is_present: bool) -> UpstreamRow {
    UpstreamRow {
        name: format!("engine-{number}"),
        store_version,
        upstream: is_present.then(|| upstream(number)),
    }
}

fn read(store_version: u64, is_whole: bool, rows: Vec<UpstreamRow>) -> UpstreamRead {
    UpstreamRead {
        store_version,
        is_whole,
        rows,
    }
}

fn names(table: &UpstreamTable) -> Vec<String> {
    let upstreams = table.upstreams().into_iter();
    upstreams.map(|upstream| upstream.name).collect()
}

/// Guards against a copy that goes back when a daemon that lags passes on its own.
#[test]
fn an_older_copy_changes_nothing() {
    let mut table = UpstreamTable::default();
    assert!(table.apply(read(9, true, vec![row(1, 4, true)])));
    assert!(!table.apply(read(8, true, vec![row(2, 3, true)])));
    assert!(!table.apply(read(8, false, vec![row(1, 5, false)])));
    // The copy has a newer state of the row than the change says.
    assert!(!table.apply(read(9, false, vec![row(1, 3, false)])));
    assert_eq!(names(&table), ["engine-1"]);
}

/// Guards against removed rows that pile up over the days, and against a daemon that isn't told of
/// those that were forgotten.
#[test]
fn removed_rows_are_forgotten_but_never_missed() {
    let mut table = UpstreamTable::default();
    let count = u16::try_from(REMOVED_MAX + 1).unwrap();
    let rows = (1..=count).map(|number| row(number, u64::from(number), true));
    table.apply(read(u64::from(count), true, rows.collect()));
    let mut follower = UpstreamTable::default();
    follower.apply(table.changes_since(None).unwrap());
    let before = follower.store_version();
    for number in 1..=count {
        let version = u64::from(count) + u64::from(number);
        table.apply(read(version, false, vec![row(number, version, false)]));
    }
    assert!(table.rows.len() <= REMOVED_MAX);
    let lacking = table.changes_since(before).unwrap();
    assert!(lacking.is_whole);
    follower.apply(lacking);
    assert_eq!(names(&follower), [""; 0]);
}

/// One change of a row, or a read by one of the copies.
#[derive(Debug, Clone)]
enum Event {
    Change {
        number: u16,
        is_present: bool,
    },
    /// The copy asks the store.
    FromStore(usize),
    /// The first copy asks the second.
    FromCopy(usize, usize),
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let event = prop_oneof![
        3 => (1..8_u16, any::<bool>())
            .prop_map(|(number, is_present)| Event::Change { number, is_present }),
        1 => (0..3_usize).prop_map(Event::FromStore),
        3 => (0..3_usize, 0..3_usize).prop_map(|(to, from)| Event::FromCopy(to, from)),
    ];
    proptest::collection::vec(event, 1..60)
}

proptest! {
    /// Copies that take turns in asking the store and each other. Guards against one that differs
    /// from what the store had at the version that the copy claims.
    #[test]
    fn every_copy_is_a_state_of_the_store(events in events()) {
        let mut store = UpstreamTable::default();
        store.apply(read(0, true, Vec::new()));
        let mut states = vec![names(&store)];
        let mut copies: [UpstreamTable; 3] = std::array::from_fn(|_| UpstreamTable::default());
        let mut version = 0;
        for event in events {
            match event {
                Event::Change { number, is_present } => {
                    version += 1;
                    store.apply(read(version, false, vec![row(number, version, is_present)]));
                    states.push(names(&store));
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
            for copy in &copies {
                if let Some(version) = copy.store_version() {
                    let state = &states[usize::try_from(version).unwrap()];
                    prop_assert_eq!(&names(copy), state);
                }
            }
        }
    }
}
