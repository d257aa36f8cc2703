//! Random schedule of drills, in which the store comes back from an older copy, and their
//! injection.

use std::{
    ops::RangeInclusive,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use emulator::{Operator, RowKey, Store, StoreCopy, StoreFault};
use rand::{Rng, RngExt as _, SeedableRng as _, rngs::StdRng};
use serde_json::json;
use tokio::time::{Instant, sleep_until};

use crate::departures::{Departure, Departures};

/// Offset of the generator's seed, so that the schedule of the other faults stays the same.
const SEED_OFFSET: u64 = 2 << 32;

/// Longest outage of the store before it comes back.
const OUTAGE_MAX_MS: u64 = 1_500;

/// Least age of a copy when the store goes away.
const COPY_AGE_MIN_MS: u64 = 500;

/// Largest age of a copy when the store comes back.
const COPY_AGE_MAX_MS: u64 = 5_000;

/// Interval between two copies.
const COPY_INTERVAL: Duration = Duration::from_millis(100);

/// Longest time from the return of the store until the operator writes its configuration again.
const REWRITE_MAX_MS: u64 = 2_000;

/// Longest pause between two drills in a row.
const PAUSE_MAX_MS: u64 = 500;

/// Time after the restart of all hosts at which the last drill begins; they have read the store by
/// then.
const LAST_DRILL_MS: RangeInclusive<u64> = 500..=1_500;

/// Time before and after the beginning of a drill within which changes are made beside it.
const CHANGE_TIME: Duration = Duration::from_secs(2);

/// What happens when the store comes back.
#[derive(Debug, Clone, Copy)]
struct Restore {
    copy_age: Duration,
    cuts_connections: bool,
    /// Whether versions up to the newest one before the drill are given out again before a host
    /// reads, among them those of a new configuration and of a departure.
    reuses_versions: bool,
    /// Departure among the versions that are given out again.
    departure: Option<(usize, Departure)>,
}

/// Step of a drill or change beside it.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// The store goes away.
    Outage(StoreFault),
    /// The store comes back from a copy.
    Restore(Restore),
    /// The operator writes its newest configuration again.
    WriteConfig,
    /// The operator publishes a configuration with new paths.
    RotateRoutes,
    /// An upstream leaves.
    Leave(usize, Departure),
}

/// Schedule of the drills of one seed, in order of time.
pub struct Drills {
    /// Whether rows of upstreams change at each heartbeat, as the versions of the store then soon
    /// pass those from before a drill. The platform's pages say that a new sequence number alone
    /// changes no row; without drills the rows change, as they always have in the soak.
    pub heartbeats_change_row: bool,
    /// Host that is suspended during the last drill.
    pub suspended_host: Option<usize>,
    events: Vec<(Duration, Event)>,
}

impl Drills {
    /// Draws drills beside the other faults, which end after `fault_time`. The last drill begins when
    /// all hosts have been restarted after `calm_time`, as a restart hides what a host missed. Each
    /// drill has an upstream that may leave beside it, and may be followed by another drill at once.
    pub fn new(
        seed: u64,
        count: usize,
        hosts: usize,
        fault_time: Duration,
        calm_time: Duration,
    ) -> Self {
        let mut rng = StdRng::seed_from_u64(seed.wrapping_add(SEED_OFFSET));
        let heartbeats_change_row = count == 0 || rng.random_bool(0.5);
        let suspended_host = rng.random_bool(1.0 / 3.0);
        let suspended_host = suspended_host.then(|| rng.random_range(0..hosts));
        let mut events = Vec::new();
        for number in 0..count {
            let begin = if number + 1 == count {
                calm_time + draw(&mut rng, LAST_DRILL_MS)
            } else {
                fault_time.mul_f64(rng.random_range(0.0..1.0))
            };
            let departure = [Departure::Drains, Departure::Deregisters][rng.random_range(0..2)];
            let mut departure = Some((number, departure));
            if rng.random_bool(0.5) {
                let at = begin + rng.random_range(Duration::ZERO..2 * CHANGE_TIME);
                let at = at.saturating_sub(CHANGE_TIME);
                events.extend(
                    departure
                        .take()
                        .map(|(index, departure)| (at, Event::Leave(index, departure))),
                );
            }
            let end = push_drill(&mut events, &mut rng, begin, &mut departure);
            if rng.random_bool(1.0 / 3.0) {
                let begin = end + draw(&mut rng, 0..=PAUSE_MAX_MS);
                push_drill(&mut events, &mut rng, begin, &mut departure);
            }
            // A configuration that is lost with the drill, or one that comes after it.
            for (probability, earliest) in [(0.7, begin.saturating_sub(CHANGE_TIME)), (0.2, begin)]
            {
                let at = earliest + rng.random_range(Duration::ZERO..CHANGE_TIME);
                if rng.random_bool(probability) {
                    events.push((at, Event::RotateRoutes));
                }
            }
        }
        events.sort_by_key(|&(at, _)| at);
        Self {
            heartbeats_change_row,
            suspended_host,
            events,
        }
    }

    /// Injects the drills at their times and returns their number. Copies are taken all the while.
    pub async fn run(
        self,
        store: &Store,
        operator: &Mutex<Operator>,
        departures: &Departures,
    ) -> usize {
        let begin = Instant::now();
        let mut copies: Vec<(Instant, StoreCopy)> = Vec::new();
        // Newest version that a host may know, from any era.
        let mut newest_version = 0;
        let mut drills = 0;
        for (at, event) in self.events {
            while begin + at > Instant::now() {
                let now = Instant::now();
                let oldest = Duration::from_millis(COPY_AGE_MAX_MS);
                copies.retain(|(taken_at, _)| now.duration_since(*taken_at) <= oldest);
                copies.push((now, store.copy()));
                sleep_until((now + COPY_INTERVAL).min(begin + at)).await;
            }
            match event {
                Event::Outage(fault) => {
                    store.set_fault(fault);
                    store.cut_connections();
                }
                Event::Restore(restore) => {
                    let age = |taken_at: Instant| taken_at.elapsed().abs_diff(restore.copy_age);
                    let nearest = copies.iter().min_by_key(|(taken_at, _)| age(*taken_at));
                    let Some((taken_at, copy)) = nearest.cloned() else {
                        // Nothing to come back from: only the outage ends.
                        store.set_fault(StoreFault::None);
                        continue;
                    };
                    drills += 1;
                    newest_version = newest_version.max(store.version());
                    println!(
                        "drill after {} ms: version {}, copy of {} ms before, {restore:?}",
                        begin.elapsed().as_millis(),
                        store.version(),
                        taken_at.elapsed().as_millis(),
                    );
                    apply(&restore, &copy, newest_version, store, operator, departures);
                    // What came after the copy belongs to a history that is lost.
                    copies.retain(|&(other, _)| other <= taken_at);
                }
                Event::WriteConfig => lock(operator).write(),
                Event::RotateRoutes => lock(operator).rotate_routes(),
                Event::Leave(index, departure) => departures.leave(index, departure),
            }
        }
        drills
    }
}

/// Draws a drill that begins at a given time, and returns its end.
fn push_drill<R>(
    events: &mut Vec<(Duration, Event)>,
    rng: &mut R,
    begin: Duration,
    departure: &mut Option<(usize, Departure)>,
) -> Duration
where
    R: Rng,
{
    let faults = [
        StoreFault::Unavailable,
        StoreFault::Unresponsive,
        StoreFault::None,
    ];
    let fault = faults[rng.random_range(0..faults.len())];
    let length_max_ms = if rng.random_bool(0.5) {
        50
    } else {
        OUTAGE_MAX_MS
    };
    let length_ms = rng.random_range(1..=length_max_ms);
    let end = begin + Duration::from_millis(length_ms);
    let reuses_versions = rng.random_bool(0.5);
    let restore = Restore {
        copy_age: draw(rng, COPY_AGE_MIN_MS + length_ms..=COPY_AGE_MAX_MS),
        cuts_connections: rng.random_bool(0.5),
        reuses_versions,
        departure: departure.take_if(|_| reuses_versions),
    };
    events.push((begin, Event::Outage(fault)));
    events.push((end, Event::Restore(restore)));
    let rewrite = draw(rng, 0..=REWRITE_MAX_MS);
    if !reuses_versions {
        events.push((end + rewrite, Event::WriteConfig));
    }
    end
}

/// Brings the store back from a copy; nothing is read before all of it is done.
fn apply(
    restore: &Restore,
    copy: &StoreCopy,
    newest_version: u64,
    store: &Store,
    operator: &Mutex<Operator>,
    departures: &Departures,
) {
    store.restore(copy);
    if restore.reuses_versions {
        lock(operator).rotate_routes();
        if let Some((index, departure)) = restore.departure {
            departures.leave(index, departure);
        }
        while store.version() <= newest_version {
            store.put(&RowKey::new("other", "row"), &json!({}));
        }
    }
    if restore.cuts_connections {
        store.cut_connections();
    }
    store.set_fault(StoreFault::None);
}

fn draw<R>(rng: &mut R, range_ms: RangeInclusive<u64>) -> Duration
where
    R: Rng,
{
    Duration::from_millis(rng.random_range(range_ms))
}

fn lock(operator: &Mutex<Operator>) -> MutexGuard<'_, Operator> {
    operator.lock().unwrap_or_else(PoisonError::into_inner)
}
