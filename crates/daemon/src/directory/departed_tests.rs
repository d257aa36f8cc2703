use settings::{Upstream, UpstreamLifecycle};
use store::StoreVersion;

use super::{DOUBT_US, Departed, ENTRIES_MAX, MEMORY_US};
use crate::{adapter::UpstreamRow, directory::roster::tests::upstream};

/// Time of the restore, and version of the first read after it.
const RESTORED_US: u64 = 5_000_000;
const RESTORED: StoreVersion = StoreVersion::new(2, 40);

fn run(number: u16, started_ms: u64, state: UpstreamLifecycle) -> Upstream {
    Upstream {
        started_ms: Some(started_ms),
        state,
        ..upstream(number)
    }
}

fn live(number: u16) -> Upstream {
    run(number, 1, UpstreamLifecycle::Live)
}

fn leaving(number: u16) -> Upstream {
    run(number, 1, UpstreamLifecycle::Leaving)
}

fn row(upstream: Upstream, number: u64) -> UpstreamRow {
    UpstreamRow {
        name: upstream.name.clone(),
        store_version: StoreVersion::new(2, number),
        upstream: Some(upstream),
    }
}

/// Upstream 1 stays, 2 is leaving and 3 is gone when the store is restored.
fn departed() -> Departed {
    let mut departed = Departed::default();
    let before = [live(1), live(2), live(3)];
    departed.record(0, &before, &[live(1), leaving(2)]);
    departed.record_restore(RESTORED_US, RESTORED);
    departed
}

/// Guards against work for upstreams that have left and are live in the copy (DRAIN), and against
/// live ones, or new runs under the same name, that get none.
#[test]
fn rows_of_the_copy_bring_no_upstream_back() {
    let cases = [
        ("never left", live(1), 30, Some(UpstreamLifecycle::Live)),
        ("was leaving", live(2), 30, Some(UpstreamLifecycle::Leaving)),
        ("was gone", live(3), 30, None),
        ("never known", live(4), 30, Some(UpstreamLifecycle::Live)),
        (
            "gone, another run",
            run(3, 2, UpstreamLifecycle::Live),
            30,
            Some(UpstreamLifecycle::Live),
        ),
        (
            "gone, says that it leaves",
            leaving(3),
            30,
            Some(UpstreamLifecycle::Leaving),
        ),
        ("at the first read", live(3), 40, None),
        (
            "written after it",
            live(3),
            41,
            Some(UpstreamLifecycle::Live),
        ),
    ];
    let departed = departed();
    for (name, upstream, number, expected) in cases {
        let screened = departed.screen(RESTORED_US, &row(upstream, number));
        assert_eq!(screened.map(|upstream| upstream.state), expected, "{name}");
    }
}

/// Guards against an upstream that is kept out of service for good by the memory of its departure.
#[test]
fn the_doubt_ends() {
    let departed = departed();
    let ends_us = RESTORED_US + DOUBT_US;
    assert_eq!(departed.ends_us(RESTORED_US), Some(ends_us));
    assert_eq!(departed.screen(ends_us - 1, &row(live(3), 30)), None);
    assert_eq!(departed.screen(ends_us, &row(live(3), 30)), Some(live(3)));
    assert_eq!(departed.ends_us(ends_us), None);
}

/// Guards against a departure that is remembered although the upstream came back before the restore.
#[test]
fn upstreams_that_are_back_are_believed() {
    let mut departed = Departed::default();
    departed.record(0, &[live(1), live(2)], &[leaving(2)]);
    departed.record(1, &[leaving(2)], &[live(1), live(2)]);
    departed.record_restore(RESTORED_US, RESTORED);
    assert_eq!(departed.ends_us(RESTORED_US), None);
    assert_eq!(
        departed.screen(RESTORED_US, &row(live(1), 30)),
        Some(live(1))
    );
    assert_eq!(
        departed.screen(RESTORED_US, &row(live(2), 30)),
        Some(live(2))
    );
}

/// Guards against work for an upstream that registered and left between two reads, so that only the
/// removal of its row was seen here.
#[test]
fn removed_rows_count_as_departures() {
    let mut departed = departed();
    let removed = live(4).name;
    departed.record_removed(RESTORED_US, [removed.as_str(), &live(3).name].into_iter());
    assert_eq!(departed.screen(RESTORED_US, &row(live(4), 30)), None);
    assert_eq!(
        departed.screen(RESTORED_US, &row(live(4), 41)),
        Some(live(4))
    );
    // What is known of the run that left goes before.
    let next = run(3, 2, UpstreamLifecycle::Live);
    assert_eq!(
        departed.screen(RESTORED_US, &row(next.clone(), 30)),
        Some(next)
    );
}

/// Guards against departures that pile up.
#[test]
fn departures_are_forgotten() {
    let mut departed = Departed::default();
    let count = u16::try_from(ENTRIES_MAX).unwrap() + 1;
    let mut before: Vec<Upstream> = (0..count).map(live).collect();
    before.sort_by(|a, b| a.name.cmp(&b.name));
    departed.record(0, &before, &[]);
    assert_eq!(departed.entries.len(), ENTRIES_MAX);
    departed.record(MEMORY_US, &[], &[]);
    assert_eq!(departed.entries.len(), 0);
}
